// Data centres that are being evacuated, and when this daemon must have left
// each of them.
#ifndef CORE_EVACUATION_H_
#define CORE_EVACUATION_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace clementine {

/// Between learning of an evacuation and leaving the data centre, its groups
/// are used only when the others have no room. After leaving, they get no new
/// requests.
///
/// An entry whose age is unknown is left at once: one of the first set after a
/// start, and one that is learned during or shortly after an outage of the
/// sources. Its bound may already have passed.
class Evacuation {
 public:
  enum class Phase { kNone, kPreferOthers, kLeft };
  enum class Step {
    kStarted,
    kLeft,
    kEnded,
    /// The entry names no data centre of a server or daemon.
    kUnknown,
  };
  struct Change {
    std::string data_centre;
    Step step = Step::kStarted;
  };
  /// Whether a data centre has a server or a daemon.
  using IsKnown = std::function<bool(const std::string& data_centre)>;

  /// An entry may arrive before the servers and daemons of its data centre are
  /// listed. It is reported as unknown only after this time.
  static constexpr milliseconds kUnknownGrace{5'000};
  /// Kinds of objects are read separately. After an outage, evacuations may be
  /// current this much later than the list of servers.
  static constexpr milliseconds kRecoveryTime{2'000};
  /// Maximum time for which the end of an evacuation is remembered.
  static constexpr milliseconds kEndedRetention{600'000};

  /// @param departure_delay Time from learning of an evacuation until the data
  ///     centre is left.
  explicit Evacuation(milliseconds departure_delay)
      : m_departure_delay(departure_delay) {}

  /// Returns the part of the notice that is left for the departure.
  /// @param notice Time within which no request may reach the data centre.
  /// @param change_bound Time within which this daemon learns of changes.
  /// @param margin Time that a request needs at most to reach its server.
  /// @return At least 0.
  static milliseconds DepartureDelay(milliseconds notice,
                                     milliseconds change_bound,
                                     milliseconds margin);

  /// Replaces the set of evacuated data centres.
  std::vector<Change> OnChanged(const std::set<std::string>& data_centres,
                                TimePoint now);
  void OnSourcesLost() { m_sources_lost = true; }
  void OnSourcesAnswered(TimePoint now);
  /// Leaves data centres that are due.
  std::vector<Change> Advance(const IsKnown& is_known, TimePoint now);

  /// Whether the evacuations have been read since the start.
  bool known() const { return m_known; }
  Phase PhaseOf(const std::string& data_centre) const;
  /// All evacuated data centres, whether or not they have been left.
  std::set<std::string> data_centres() const;
  /// Evacuated data centres that have servers or daemons, and those whose
  /// evacuation was taken back within kEndedRetention, for metrics.
  std::map<std::string, Phase> known_data_centres() const;
  /// @return When the evacuation of a data centre was taken back; empty if it
  ///     is evacuated or was not within kEndedRetention.
  std::optional<TimePoint> EndedAt(const std::string& data_centre) const;
  /// Whether any evacuation was taken back within a time.
  bool HasEndedWithin(milliseconds time, TimePoint now) const;

 private:
  struct Entry {
    TimePoint leave_at;
    TimePoint check_at;  ///< Next check whether the data centre is known.
    bool left = false;
    bool unknown = false;
  };

  bool IsAgeUnknown(TimePoint now) const;

  milliseconds m_departure_delay;
  bool m_known = false;
  bool m_sources_lost = false;
  TimePoint m_sources_answered_at;
  std::map<std::string, Entry> m_active;
  std::map<std::string, TimePoint> m_ended;
};

}  // namespace clementine

#endif  // CORE_EVACUATION_H_
