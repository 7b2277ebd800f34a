// Passes changes of the platform's objects on to other daemons.
//
// GET /changes/KIND?since=REVISION answers as soon as something changed after
// that revision, or after a short wait without changes:
//
//   200 {"at":REVISION,"objects":[{"name","revision","content","deleted"}]}
//   410 the changes after that revision aren't known here
//   503 this daemon hasn't heard from the platform lately
#ifndef DAEMON_CHANGE_RELAY_H_
#define DAEMON_CHANGE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/core.h"
#include "net/net.h"
#include "platform/platform.h"

namespace clementine {

/// The latest changes of one kind. Invariant: revisions only rise.
class ChangeHistory {
 public:
  /// A list of all objects; what changed before its revision isn't known.
  void Restart(std::uint64_t revision, TimePoint now);
  /// Changes up to a revision; an empty batch confirms that there were none.
  void Add(const platform::ObjectBatch& batch, TimePoint now);

  /// Changes after a revision; nothing when they aren't known.
  std::optional<platform::ObjectBatch> After(std::uint64_t revision) const;

  std::uint64_t revision() const { return m_revision; }
  /// Whether the platform was heard within `age`.
  bool Fresh(TimePoint now, milliseconds age) const;

 private:
  struct Batch {
    std::uint64_t revision = 0;
    std::vector<platform::StoredObject> objects;
  };

  std::uint64_t m_base = 0;  ///< Changes after this revision are known.
  std::uint64_t m_revision = 0;
  TimePoint m_heard;
  bool m_known = false;
  std::size_t m_bytes = 0;
  std::deque<Batch> m_batches;
};

/// Answers followers.
class ChangeRelay {
 public:
  explicit ChangeRelay(std::function<TimePoint()> now)
      : m_now(std::move(now)) {}

  /// What this daemon read from the platform itself.
  void Listed(const std::string& kind, std::uint64_t revision);
  void Changed(const std::string& kind, const platform::ObjectBatch& batch);

  void Accept(const std::shared_ptr<HttpExchange>& exchange);
  /// Answers those who have waited long enough.
  void Tick();

 private:
  struct Follower {
    std::uint64_t id = 0;
    std::string kind;
    std::uint64_t since = 0;
    TimePoint until;
    std::shared_ptr<HttpExchange> exchange;
  };

  /// @return Whether the follower has its answer.
  bool TryAnswer(const Follower& follower, bool waited);

  std::function<TimePoint()> m_now;
  std::map<std::string, ChangeHistory> m_histories;
  std::list<Follower> m_followers;
  std::uint64_t m_last_follower = 0;
};

/// Reads changes from other daemons.
class ChangeClient {
 public:
  explicit ChangeClient(boost::asio::io_context* io);
  ~ChangeClient();

  /// As ObjectStore::Watch, with a daemon's address.
  void Watch(const std::string& address, const std::string& kind,
             std::uint64_t revision,
             std::function<void(platform::ObjectBatch)> done);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace clementine

#endif  // DAEMON_CHANGE_RELAY_H_
