// Distributions use the extended P-square estimator: nine markers for three
// quantiles, whatever the number of samples. Two windows alternate, so that a
// report covers the last full minute and an old peak doesn't stay for ever.

// clang-format off
// The quantile header uses std::ostringstream without including it.
#include <sstream>
// clang-format on

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

#include "fmt/format.h"
#include "net/net.h"

namespace clementine {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
constexpr std::chrono::seconds kWindow{60};

using Estimator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::extended_p_square_quantile>>;

/// Samples of up to one minute.
class Window {
 public:
  void Observe(double value) {
    if (m_count < m_first.size()) m_first[m_count] = value;
    m_estimator(value);
    ++m_count;
  }

  double Quantile(double probability) const {
    if (m_count > m_first.size()) {
      return acc::quantile(m_estimator,
                           acc::quantile_probability = probability);
    }
    // The estimator needs at least as many samples as it has markers.
    if (m_count == 0) return 0.0;
    std::array<double, kExactSamples> sorted = m_first;
    auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
    std::sort(sorted.begin(), end);
    auto rank = static_cast<std::size_t>(probability *
                                         static_cast<double>(m_count - 1));
    return sorted[rank];
  }

  bool empty() const { return m_count == 0; }

 private:
  static constexpr std::size_t kExactSamples = 32;

  Estimator m_estimator =
      Estimator(acc::tag::extended_p_square::probabilities = kQuantiles);
  std::array<double, kExactSamples> m_first{};
  std::size_t m_count = 0;
};

}  // namespace

class Metrics::Distribution {
 public:
  void Observe(double value, TimePoint now) {
    if (m_count == 0) {
      m_window_start = now;
    }
    if (now - m_window_start >= kWindow) {
      m_last = m_current;
      m_current = Window();
      m_window_start = now;
    }
    m_current.Observe(value);
    ++m_count;
    m_sum += value;
  }

  double Quantile(double probability) const {
    const Window& window = m_last.empty() ? m_current : m_last;
    return window.Quantile(probability);
  }

  std::uint64_t count() const { return m_count; }
  double sum() const { return m_sum; }

 private:
  Window m_current;
  Window m_last;
  std::uint64_t m_count = 0;
  double m_sum = 0.0;
  TimePoint m_window_start;
};

class Metrics::Impl {
 public:
  using Key = std::pair<std::string, std::string>;  ///< Name, labels.

  std::string Render() const {
    fmt::memory_buffer out;
    RenderPlain(m_counters, "counter", &out);
    RenderPlain(m_gauges, "gauge", &out);
    std::string last;
    for (const auto& [key, distribution] : m_distributions) {
      if (key.first != last) {
        fmt::format_to(std::back_inserter(out), "# TYPE {} summary\n",
                       key.first);
        last = key.first;
      }
      RenderDistribution(key, distribution, &out);
    }
    return fmt::to_string(out);
  }

  std::map<Key, std::uint64_t> m_counters;
  std::map<Key, double> m_gauges;
  std::map<Key, Distribution> m_distributions;

 private:
  static std::string Braced(const std::string& labels) {
    return labels.empty() ? "" : "{" + labels + "}";
  }

  template <typename Values>
  static void RenderPlain(const Values& values, const char* type,
                          fmt::memory_buffer* out) {
    std::string last;
    for (const auto& [key, value] : values) {
      if (key.first != last) {
        fmt::format_to(std::back_inserter(*out), "# TYPE {} {}\n", key.first,
                       type);
        last = key.first;
      }
      fmt::format_to(std::back_inserter(*out), "{}{} {}\n", key.first,
                     Braced(key.second), value);
    }
  }

  static void RenderDistribution(const Key& key,
                                 const Distribution& distribution,
                                 fmt::memory_buffer* out) {
    std::string prefix = key.second.empty() ? "" : key.second + ",";
    for (double quantile : kQuantiles) {
      if (distribution.count() == 0) break;
      fmt::format_to(std::back_inserter(*out), "{}{{{}quantile=\"{}\"}} {}\n",
                     key.first, prefix, quantile,
                     distribution.Quantile(quantile));
    }
    fmt::format_to(std::back_inserter(*out), "{}_sum{} {}\n{}_count{} {}\n",
                   key.first, Braced(key.second), distribution.sum(), key.first,
                   Braced(key.second), distribution.count());
  }
};

Metrics::Metrics() : m_impl(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Add(const std::string& name, const std::string& labels,
                  std::uint64_t count) {
  m_impl->m_counters[{name, labels}] += count;
}

void Metrics::SetTotal(const std::string& name, const std::string& labels,
                       std::uint64_t total) {
  m_impl->m_counters[{name, labels}] = total;
}

void Metrics::Set(const std::string& name, const std::string& labels,
                  double value) {
  m_impl->m_gauges[{name, labels}] = value;
}

Metrics::Distribution* Metrics::Find(const std::string& name,
                                     const std::string& labels) {
  return &m_impl->m_distributions[{name, labels}];
}

void Metrics::Observe(Distribution* distribution, double value, TimePoint now) {
  distribution->Observe(value, now);
}

std::string Metrics::Render() const { return m_impl->Render(); }

}  // namespace clementine
