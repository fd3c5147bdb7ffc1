#include "shell/metrics_page.h"

#include <fstream>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace cactusmast {

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

std::string
metrics_page::Render() const
{
  return prometheus::TextSerializer().Serialize(mFamilies);
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
