// Metrics in the Prometheus text format, by prometheus-cpp's serializer. The
// values are read from the node's own counters when the page is asked for, so
// nothing is counted twice and no second thread or server is needed.

#ifndef SHELL_METRICS_PAGE_H_
#define SHELL_METRICS_PAGE_H_

#include <map>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

#include "cactusmast/evacuation.h"
#include "cactusmast/latency_histogram.h"

namespace cactusmast {

class metrics_page
{
public:
  void Counter(const std::string& aName,
               const std::string& aHelp,
               double aValue);
  void Gauge(const std::string& aName, const std::string& aHelp, double aValue);
  // One value for each value of a label.
  void Gauges(const std::string& aName,
              const std::string& aHelp,
              const std::string& aLabel,
              const std::map<std::string, double>& aValues);
  // Seconds, as is usual in this format.
  void Latency(const std::string& aName,
               const std::string& aHelp,
               const latency_histogram& aMeasured);
  std::string Render() const;

private:
  void Add(const std::string& aName,
           const std::string& aHelp,
           prometheus::MetricType aType,
           double aValue);

  std::vector<prometheus::MetricFamily> mFamilies;
};

constexpr char kEvacuatedMetric[] = "cactusmast_evacuated_seconds";
constexpr char kEvacuationsAgeMetric[] = "cactusmast_evacuations_age_seconds";

// What the process knows of evacuations, and how long ago the store told it.
void
AddEvacuationMetrics(const evacuation_tracker& aKnown,
                     instant aNow,
                     metrics_page* aPage);

// Resident memory and processor time of this process.
void
AddProcessMetrics(metrics_page* aPage);

} // namespace cactusmast

#endif // SHELL_METRICS_PAGE_H_
