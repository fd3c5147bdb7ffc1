#include "shell/metrics_page.h"

#include <fstream>
#include <limits>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include "cactusmast/time_spans.h"

namespace cactusmast {
namespace {

constexpr double kMsInSecond = 1000;

} // namespace

void
metrics_page::Add(const std::string& aName,
                  const std::string& aHelp,
                  prometheus::MetricType aType,
                  double aValue)
{
  prometheus::MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = aType;
  prometheus::ClientMetric metric;
  if (aType == prometheus::MetricType::Counter) {
    metric.counter.value = aValue;
  } else {
    metric.gauge.value = aValue;
  }
  family.metric.push_back(metric);
  mFamilies.push_back(std::move(family));
}

void
metrics_page::Counter(const std::string& aName,
                      const std::string& aHelp,
                      double aValue)
{
  Add(aName, aHelp, prometheus::MetricType::Counter, aValue);
}

void
metrics_page::Gauge(const std::string& aName,
                    const std::string& aHelp,
                    double aValue)
{
  Add(aName, aHelp, prometheus::MetricType::Gauge, aValue);
}

void
metrics_page::AddLabelled(const std::string& aName,
                          const std::string& aHelp,
                          prometheus::MetricType aType,
                          const std::string& aLabel,
                          const std::map<std::string, double>& aValues)
{
  prometheus::MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = aType;
  for (const auto& [label, value] : aValues) {
    prometheus::ClientMetric metric;
    metric.label.push_back({ aLabel, label });
    if (aType == prometheus::MetricType::Counter) {
      metric.counter.value = value;
    } else {
      metric.gauge.value = value;
    }
    family.metric.push_back(metric);
  }
  mFamilies.push_back(std::move(family));
}

void
metrics_page::Gauges(const std::string& aName,
                     const std::string& aHelp,
                     const std::string& aLabel,
                     const std::map<std::string, double>& aValues)
{
  AddLabelled(aName, aHelp, prometheus::MetricType::Gauge, aLabel, aValues);
}

void
metrics_page::Counters(const std::string& aName,
                       const std::string& aHelp,
                       const std::string& aLabel,
                       const std::map<std::string, double>& aValues)
{
  AddLabelled(aName, aHelp, prometheus::MetricType::Counter, aLabel, aValues);
}

void
metrics_page::Latency(const std::string& aName,
                      const std::string& aHelp,
                      const latency_histogram& aHistogram)
{
  prometheus::ClientMetric metric;
  uint64_t cumulative = 0;
  for (size_t i = 0; i < latency_histogram::kBoundsMs.size(); i++) {
    cumulative += aHistogram.Counts()[i];
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = cumulative;
    bucket.upper_bound = latency_histogram::kBoundsMs[i] / kMsInSecond;
    metric.histogram.bucket.push_back(bucket);
  }
  cumulative += aHistogram.Counts().back();
  prometheus::ClientMetric::Bucket overflow;
  overflow.cumulative_count = cumulative;
  overflow.upper_bound = std::numeric_limits<double>::infinity();
  metric.histogram.bucket.push_back(overflow);
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = aHistogram.SumMs() / kMsInSecond;
  prometheus::MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = prometheus::MetricType::Histogram;
  family.metric.push_back(metric);
  mFamilies.push_back(std::move(family));
}

std::string
metrics_page::Render() const
{
  return prometheus::TextSerializer().Serialize(mFamilies);
}

void
AddEvacuationMetrics(const evacuation_tracker& aTracker,
                     instant aNow,
                     metrics_page* aPage)
{
  std::map<std::string, double> seconds;
  for (const auto& [center, since] : aTracker.Since()) {
    seconds[center] = MsBetween(since, aNow) / kMsInSecond;
  }
  aPage->Gauges(kEvacuatedMetric,
                "Time since this process learned that the data centre is being "
                "evacuated.",
                "data_center",
                seconds);
  aPage->Gauge(kEvacuationsAgeMetric,
               "Time since the store last reported which data centres are "
               "evacuated.",
               double(ToMs(aTracker.Age(aNow))) / kMsInSecond);
}

void
AddProcessMetrics(metrics_page* aPage)
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval& aTime) {
    return double(aTime.tv_sec) + double(aTime.tv_usec) / 1e6;
  };
  aPage->Counter("process_cpu_seconds_total",
                 "Processor time of this process.",
                 seconds(usage.ru_utime) + seconds(usage.ru_stime));
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  aPage->Gauge("process_resident_memory_bytes",
               "Resident memory of this process.",
               resident * double(sysconf(_SC_PAGESIZE)));
}

} // namespace cactusmast
