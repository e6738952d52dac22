#include "marjoramrail/runtime.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace marjoramrail {

namespace acc = boost::accumulators;

static constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

using distribution = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

struct metrics::impl {
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  struct read_value {
    std::function<double()> Read;
    const char *Type = "gauge";
  };

  std::map<std::string, read_value> Values;
  std::map<std::string, distribution> Distributions;
};

metrics::metrics() : Impl(std::make_unique<impl>()) {}

metrics::~metrics() = default;

std::uint64_t &metrics::counter(const std::string &Name,
                                const std::string &Labels) {
  return Impl->Counters[{Name, Labels}];
}

void metrics::gauge(const std::string &Name, std::function<double()> Read) {
  Impl->Values[Name] = {std::move(Read), "gauge"};
}

void metrics::counterOf(const std::string &Name, std::function<double()> Read) {
  Impl->Values[Name] = {std::move(Read), "counter"};
}

void metrics::observe(const std::string &Name, double Value) {
  auto Found = Impl->Distributions.find(Name);
  if (Found == Impl->Distributions.end())
    Found =
        Impl->Distributions
            .emplace(Name,
                     distribution(
                         acc::tag::extended_p_square_quantile::probabilities =
                             Quantiles))
            .first;
  Found->second(Value);
}

static void writeDistribution(std::ostream &Out, const std::string &Name,
                              const distribution &Values) {
  Out << "# TYPE " << Name << " summary\n";
  for (const double Quantile : Quantiles)
    Out << Name << "{quantile=\"" << Quantile << "\"} "
        << acc::quantile(Values, acc::quantile_probability = Quantile) << "\n";
  const auto Count = acc::count(Values);
  Out << Name << "_count " << Count << "\n";
  Out << Name << "_sum " << acc::mean(Values) * static_cast<double>(Count)
      << "\n";
  Out << "# TYPE " << Name << "_max gauge\n";
  Out << Name << "_max " << acc::max(Values) << "\n";
}

std::string metrics::page() const {
  std::ostringstream Out;
  std::string LastName;
  for (const auto &[Key, Value] : Impl->Counters) {
    const auto &[Name, Labels] = Key;
    if (Name != LastName)
      Out << "# TYPE " << Name << " counter\n";
    LastName = Name;
    Out << Name;
    if (!Labels.empty())
      Out << "{" << Labels << "}";
    Out << " " << Value << "\n";
  }
  for (const auto &[Name, Value] : Impl->Values)
    Out << "# TYPE " << Name << " " << Value.Type << "\n"
        << Name << " " << Value.Read() << "\n";
  for (const auto &[Name, Values] : Impl->Distributions)
    writeDistribution(Out, Name, Values);
  return Out.str();
}

} // namespace marjoramrail
