// Adopts a configuration once its head, with a higher generation, and all
// sections of the head have arrived.
#ifndef CORE_CONFIG_WATCH_H_
#define CORE_CONFIG_WATCH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/mutation.h"
#include "core/platform_calls.h"

namespace clementine {

/// Collects heads and sections from any source: the platform watch of
/// ControlPlane, this object's own reads of sections, or another daemon.
/// Invariant: the adopted generation never decreases, and an adopted
/// configuration consists of sections whose text matches their digest.
class ConfigWatch {
 public:
  using Actions = std::vector<ControlAction>;

  ConfigWatch(PlatformCalls* calls, Jitter* jitter,
              Mutation mutation = Mutation::kNone)
      : m_calls(calls), m_jitter(jitter), m_mutation(mutation) {}

  /// Handles an encoded head. Logs one that can't be decoded.
  void OfferHead(const std::string& json, TimePoint now, Actions* out);
  /// Handles the text of a section. `source` is written to the log.
  void OfferSection(const std::string& digest, const std::string& text,
                    const std::string& source, TimePoint now, Actions* out);
  /// Handles the reply to the read of a section from the platform.
  void OnReply(const std::string& key, const ObjectReply& reply, TimePoint now,
               Actions* out);
  /// Requests missing sections that are due.
  void Advance(TimePoint now, Actions* out);

  /// Digests of the pending head whose texts are missing.
  std::vector<std::string> MissingSections() const;
  /// Text of a known section, or nullptr.
  const std::string* FindSection(const std::string& digest) const;

  const std::shared_ptr<const Configuration>& configuration() const {
    return m_configuration;
  }
  const ConfigHead& head() const { return m_adopted; }
  std::uint64_t generation() const { return m_adopted.generation; }

 private:
  struct Fetch {
    bool pending = false;
    TimePoint next;
    Backoff backoff{milliseconds(200), kMaxConfigurationRetry};
  };

  void TryAdopt(TimePoint now, Actions* out);
  void ScheduleRetry(const std::string& digest, const char* fault,
                     TimePoint now, Actions* out);

  PlatformCalls* m_calls;
  Jitter* m_jitter;
  Mutation m_mutation;
  std::shared_ptr<const Configuration> m_configuration;
  ConfigHead m_adopted;
  /// Newer than the adopted head; incomplete.
  std::optional<ConfigHead> m_pending_head;
  /// Last generation that was complete but couldn't be parsed.
  std::uint64_t m_rejected_generation = 0;
  std::map<std::string, std::string> m_texts;  ///< Section texts by digest.
  /// Reads of missing sections, by digest.
  std::map<std::string, Fetch> m_fetches;
};

}  // namespace clementine

#endif  // CORE_CONFIG_WATCH_H_
