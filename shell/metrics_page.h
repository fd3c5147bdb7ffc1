// Metrics in the Prometheus text format, rendered by prometheus-cpp's
// serializer. The values are taken from the process's own counters when the
// page is requested, so that nothing is counted twice and no additional thread
// or server is needed.

#ifndef SHELL_METRICS_PAGE_H_
#define SHELL_METRICS_PAGE_H_

#include <map>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

#include "cactusmast/evacuation.h"
#include "cactusmast/latency_histogram.h"

namespace cactusmast {

// Collects the metrics of one page. Every metric is added once.
class metrics_page
{
public:
  void Counter(const std::string& aName,
               const std::string& aHelp,
               double aValue);
  void Gauge(const std::string& aName, const std::string& aHelp, double aValue);
  // A gauge with the label aLabel. aValues: gauge by value of the label.
  void Gauges(const std::string& aName,
              const std::string& aHelp,
              const std::string& aLabel,
              const std::map<std::string, double>& aValues);
  // A counter with the label aLabel. aValues: counter by value of the label.
  void Counters(const std::string& aName,
                const std::string& aHelp,
                const std::string& aLabel,
                const std::map<std::string, double>& aValues);
  // A histogram in seconds, the usual unit of the format.
  void Latency(const std::string& aName,
               const std::string& aHelp,
               const latency_histogram& aHistogram);
  std::string Render() const;

private:
  void Add(const std::string& aName,
           const std::string& aHelp,
           prometheus::MetricType aType,
           double aValue);
  void AddLabelled(const std::string& aName,
                   const std::string& aHelp,
                   prometheus::MetricType aType,
                   const std::string& aLabel,
                   const std::map<std::string, double>& aValues);

  std::vector<prometheus::MetricFamily> mFamilies;
};

constexpr char kEvacuatedMetric[] = "cactusmast_evacuated_seconds";
constexpr char kEvacuationsAgeMetric[] = "cactusmast_evacuations_age_seconds";

// Read by `cactusmast demand`; the first four have a value for each route.
constexpr char kDemandMetric[] = "cactusmast_demand_millis";
constexpr char kTotalDemandMetric[] = "cactusmast_demand_all_millis";
constexpr char kShareLimitMetric[] = "cactusmast_share_limit_millis";
constexpr char kShareHeldMetric[] = "cactusmast_share_held_tasks";
constexpr char kDemandAgeMetric[] = "cactusmast_demand_age_seconds";

// Adds for how long each evacuated data centre has been known as such, and the
// time since the store last reported the evacuations.
void
AddEvacuationMetrics(const evacuation_tracker& aTracker,
                     instant aNow,
                     metrics_page* aPage);

// Adds resident memory and processor time of this process.
void
AddProcessMetrics(metrics_page* aPage);

} // namespace cactusmast

#endif // SHELL_METRICS_PAGE_H_
