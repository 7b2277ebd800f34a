// Daemons that share crash marks before servers of which some end under a
// deadly prompt part. The world knows which parts are deadly and counts both
// errors: deadly parts that go on, and sound requests that are refused.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "core/quarantine.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::seconds;

constexpr seconds kLength{40};
/// Bound within which marks have to be known (`contact_ms`).
constexpr milliseconds kNotice{3'000};
constexpr milliseconds kDuration{600'000};

struct Options {
  std::uint64_t seed = 1;
  int daemons = 6;
  int groups = 12;
  double requests_per_s = 60;
  double deadly_share = 0.05;
  int deadly_parts = 1;
  bool disturbed = false;  ///< Restarts and cuts of daemons, other crashes.
  /// Further parts of each prompt: of some common documents, and parts that no
  /// other prompt has.
  int common_parts = 0;
  int own_parts = 0;
};

struct Counts {
  int crashes = 0;
  int late = 0;   ///< Runs with a deadly part that the rule BUDGET counts.
  int sound = 0;  ///< Sound requests that share a part with deadly ones.
  int sound_refused = 0;  ///< Of these, refused for blame.
  int parts_blamed = 0;   ///< Sound parts that were ever blamed alone.
  int max_marks = 0;      ///< Of one request at one crash.
  int max_mark_bytes = 0;
  std::int64_t mark_bytes = 0;  ///< Of all marks that daemons made.
};

class World {
 public:
  explicit World(Options options) : m_options(options), m_random(options.seed) {
    for (int i = 0; i < options.daemons; ++i) m_daemons.push_back(MakeDaemon());
    m_groups.resize(static_cast<std::size_t>(options.groups));
  }

  Counts Play() {
    At(kStart, [this] { Arrive(); });
    if (m_options.disturbed) At(kStart + seconds(2), [this] { Disturb(); });
    while (!m_events.empty() && m_events.top().at < kStart + kLength) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    m_counts.parts_blamed = static_cast<int>(m_blamed_sound_parts.size());
    return m_counts;
  }

 private:
  static constexpr TimePoint kStart = TimePoint() + std::chrono::hours(1);

  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  struct Daemon {
    Quarantine quarantine;
    TimePoint cut_until;        ///< Neither sends nor receives marks.
    TimePoint disturbed_until;  ///< The rules don't count it.
    std::vector<QuarantineLearned> unsent;
  };
  struct Group {
    int life = 1;
    TimePoint down_until;
  };
  struct Job {
    CrashKeys keys;
    std::vector<std::string> parts;
    int daemon = 0;
    std::size_t group = 0;
    TimePoint started;
    bool deadly = false;
    std::size_t cause = 0;  ///< Number of the deadly part.
    bool shares = false;    ///< A sound request with a part of deadly ones.
    bool began = false;
    bool survived = false;
    int attempts = 0;
  };

  void At(TimePoint at, std::function<void()> run) {
    m_events.push({std::max(at, kStart), ++m_event_number, std::move(run)});
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(m_random);
  }
  milliseconds Exponential(double mean_ms) {
    return milliseconds(static_cast<int>(-mean_ms * std::log(1 - Uniform())));
  }
  std::unique_ptr<Daemon> MakeDaemon() {
    auto daemon = std::make_unique<Daemon>(
        Daemon{Quarantine(3, kDuration, m_random()), {}, {}, {}});
    daemon->quarantine.SetDaemonCount(m_options.daemons);
    return daemon;
  }
  Daemon& At(int daemon) {
    return *m_daemons[static_cast<std::size_t>(daemon)];
  }

  /// Callers have a first part each, of uneven popularity. Some of their
  /// requests have a second part that few others have.
  void Arrive() {
    At(m_now + Exponential(1000 / m_options.requests_per_s),
       [this] { Arrive(); });
    auto run = std::make_shared<Job>();
    run->deadly =
        m_now > kStart + seconds(4) && Uniform() < m_options.deadly_share;
    int caller = std::min(Pick(30), Pick(30));
    int cause = Pick(m_options.deadly_parts);
    run->cause = static_cast<std::size_t>(cause);
    // Deadly requests come from a few callers, and their first parts are shared
    // by sound requests.
    if (run->deadly) caller = 3 + cause + 5 * Pick(2);
    run->parts.push_back(fmt::format("caller{}", caller));
    AddLongPrompt(run.get());
    if (run->deadly) {
      run->parts.push_back(fmt::format("deadly{}", cause));
    } else if (Uniform() < 0.5) {
      run->parts.push_back(fmt::format("rare{}", Pick(200)));
    }
    run->shares = !run->deadly && caller >= 3 && caller < 10;
    Request request;
    request.model = "m";
    request.organisation = "o";
    request.content_digest = std::to_string(++m_last_request);
    request.shared_parts = run->parts;
    run->keys = Quarantine::Keys(request);
    run->parts.clear();
    run->daemon = Pick(m_options.daemons);
    Dispatch(run);
  }

  void AddLongPrompt(Job* run) {
    int document = Pick(4);
    for (int i = 0; i < m_options.common_parts; ++i) {
      run->parts.push_back(fmt::format("document{}-{}", document, i));
    }
    for (int i = 0; i < m_options.own_parts; ++i) {
      run->parts.push_back(fmt::format("own{}-{}", m_last_request, i));
    }
  }

  void Dispatch(const std::shared_ptr<Job>& run) {
    Daemon& daemon = At(run->daemon);
    bool first = run->attempts == 0;
    m_counts.sound += first && run->shares ? 1 : 0;
    BlamedKeys blamed = daemon.quarantine.FindBlamed(run->keys, m_now);
    if (!blamed.empty()) {
      m_counts.sound_refused += first && run->shares ? 1 : 0;
      if (!run->deadly && blamed.size() == 1) {
        m_blamed_sound_parts[blamed.front()] = true;
      }
      return;
    }
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < m_groups.size(); ++i) {
      if (m_groups[i].down_until <= m_now) open.push_back(i);
    }
    if (open.empty()) return;
    ++run->attempts;
    run->group =
        open[static_cast<std::size_t>(Pick(static_cast<int>(open.size())))];
    run->started = m_now;
    run->began = run->survived = false;
    bool counts = run->deadly && m_crashes[run->cause] >= 5 &&
                  m_now > m_fifth[run->cause] + kNotice &&
                  m_now > daemon.disturbed_until;
    m_counts.late += counts ? 1 : 0;
    m_running.push_back(run);
    auto later = [this, run, attempt = run->attempts](TimePoint at, auto step) {
      At(at, [this, run, attempt, step] {
        if (run->attempts == attempt && IsRunning(*run)) step(*run);
      });
    };
    TimePoint begin = m_now + milliseconds(30) + Exponential(150);
    later(begin, [this](Job& r) { Begin(&r); });
    later(begin + milliseconds(200), [this](Job& r) { Survive(&r); });
    later(begin + milliseconds(900), [this](Job& r) { Complete(&r); });
  }

  bool IsRunning(const Job& run) const {
    return std::any_of(
        m_running.begin(), m_running.end(),
        [&run](const auto& other) { return other.get() == &run; });
  }

  void Begin(Job* run) {
    run->began = true;
    if (!run->deadly) return;
    if (++m_crashes[run->cause] == 5) m_fifth[run->cause] = m_now;
    Crash(run->group);
  }
  void Survive(Job* run) {
    run->survived = true;
    Share(run->daemon,
          At(run->daemon).quarantine.AcquitParts(run->keys, m_now));
  }
  void Complete(Job* run) {
    Share(
        run->daemon,
        At(run->daemon).quarantine.OnRequestCompleted(run->keys.digest, m_now));
    std::erase_if(m_running, [run](const auto& r) { return r.get() == run; });
  }

  void Crash(std::size_t group) {
    if (m_groups[group].down_until > m_now) return;
    ++m_counts.crashes;
    std::string name = fmt::format("g{}@{}", group, m_groups[group].life++);
    m_groups[group].down_until = m_now + seconds(5);
    std::vector<std::shared_ptr<Job>> ended;
    std::erase_if(m_running, [&](const auto& run) {
      bool there = run->group == group;
      if (there) ended.push_back(run);
      return there;
    });
    for (const auto& run : ended) {
      Daemon& daemon = At(run->daemon);
      CrashKeys keys = run->keys;
      if (run->survived) keys.parts = nullptr;
      std::vector<ShareQuarantine> marks =
          daemon.quarantine.OnServerCrash(keys, name, run->started, m_now);
      m_counts.max_marks =
          std::max(m_counts.max_marks, static_cast<int>(marks.size()));
      for (const ShareQuarantine& mark : marks) {
        m_counts.max_mark_bytes = std::max(
            m_counts.max_mark_bytes, static_cast<int>(mark.digest.size()));
        m_counts.mark_bytes += static_cast<std::int64_t>(mark.digest.size());
      }
      Share(run->daemon, marks);
      if (run->attempts < 3) {
        At(m_now + milliseconds(20), [this, run] { Dispatch(run); });
      }
    }
  }

  /// Marks reach the other daemons after a delay, acquittals after a longer
  /// one. Marks of a daemon that is cut off wait for its return.
  void Share(int from, const std::vector<ShareQuarantine>& shares) {
    for (const ShareQuarantine& share : shares) {
      QuarantineLearned learned{share.digest, share.remaining};
      m_stored.push_back(learned);
      if (At(from).cut_until > m_now) {
        At(from).unsent.push_back(learned);
        continue;
      }
      milliseconds delay =
          IsAcquittal(share.digest) ? milliseconds(2'200) : milliseconds(350);
      At(m_now + delay, [this, learned] { Deliver(learned); });
    }
  }
  void Deliver(const QuarantineLearned& learned) {
    for (int i = 0; i < m_options.daemons; ++i) {
      if (At(i).cut_until > m_now) {
        At(At(i).cut_until + milliseconds(1), [this, i, learned] {
          Share(i, At(i).quarantine.OnPeerNotice(learned, m_now));
        });
      } else {
        Share(i, At(i).quarantine.OnPeerNotice(learned, m_now));
      }
    }
  }

  void Disturb() {
    At(m_now + Exponential(3'000), [this] { Disturb(); });
    int daemon = Pick(m_options.daemons);
    int kind = Pick(3);
    if (kind == 0) {
      Crash(static_cast<std::size_t>(Pick(m_options.groups)));
      return;
    }
    if (kind == 1) {
      // A daemon reads the stored marks before it serves.
      m_daemons[static_cast<std::size_t>(daemon)] = MakeDaemon();
      for (const QuarantineLearned& learned : m_stored) {
        At(daemon).quarantine.OnPeerNotice(learned, m_now);
      }
      At(daemon).disturbed_until = m_now + kNotice;
      return;
    }
    TimePoint end = m_now + milliseconds(1'500);
    At(daemon).cut_until = end;
    At(daemon).disturbed_until = end + kNotice;
    At(end + milliseconds(1), [this, daemon] {
      std::vector<QuarantineLearned> unsent;
      unsent.swap(At(daemon).unsent);
      for (const QuarantineLearned& learned : unsent) Deliver(learned);
    });
  }

  Options m_options;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::vector<Group> m_groups;
  std::vector<std::shared_ptr<Job>> m_running;
  std::vector<QuarantineLearned> m_stored;
  std::map<std::string, bool> m_blamed_sound_parts;
  std::priority_queue<Event> m_events;
  std::uint64_t m_event_number = 0;
  std::uint64_t m_last_request = 0;
  TimePoint m_now = kStart;
  std::map<std::size_t, int> m_crashes;  ///< By deadly part.
  std::map<std::size_t, TimePoint> m_fifth;
  Counts m_counts;
};

/// CLEMENTINE_BLAME_SEEDS=COUNT plays as many instead.
int Seeds(int usual) {
  const char* seeds = std::getenv("CLEMENTINE_BLAME_SEEDS");
  return seeds == nullptr ? usual : std::atoi(seeds);
}

void CheckWorlds(Options options, int seeds) {
  Counts sum;
  int broken = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    Counts counts = World(options).Play();
    CAPTURE(seed);
    CHECK(counts.late <= 3);
    CHECK(counts.sound >= 20);
    CHECK(2 * counts.sound_refused < counts.sound);
    sum.crashes += counts.crashes;
    sum.late += counts.late;
    sum.sound += counts.sound;
    sum.sound_refused += counts.sound_refused;
    sum.parts_blamed += counts.parts_blamed;
    sum.mark_bytes += counts.mark_bytes;
    // The digest of the request and a filter, and marks of parts that several
    // crashes have in common, for at most as many crashes as count.
    CHECK(counts.max_marks <= 2 + 16 * 16);
    CHECK(counts.max_mark_bytes < 12'000);
    broken += counts.late > 0 ? 1 : 0;
  }
  MESSAGE(options.daemons << " daemons, share " << options.deadly_share << ", "
                          << options.deadly_parts << " parts: " << seeds
                          << " seeds, " << sum.crashes << " crashes, "
                          << sum.late << " late runs in " << broken
                          << " seeds, " << sum.sound_refused << " of "
                          << sum.sound << " sound refused, " << sum.parts_blamed
                          << " sound parts blamed, "
                          << sum.mark_bytes / std::max(1, sum.crashes)
                          << " bytes of marks a crash");
}

}  // namespace

// Guards against requests with a deadly part that go on ending servers
// (BUDGET), and against sound requests that are refused for what others did
// (LOST): the world knows the truth and counts both.
TEST_CASE("crashes are blamed on the deadly part and on nothing else") {
  for (double share : {0.02, 0.05, 0.15}) {
    for (int parts : {1, 2}) {
      Options options;
      options.deadly_share = share;
      options.deadly_parts = parts;
      CheckWorlds(options, Seeds(10));
    }
  }
}

// Guards against a deadly part that is never blamed because of its place in a
// long prompt (BUDGET), and against sound parts that are blamed because prompts
// have many (LOST).
TEST_CASE("a deadly part of a long prompt is blamed and no other") {
  for (int own : {0, 18, 600}) {
    Options options;
    options.common_parts = 30;
    options.own_parts = own;
    CheckWorlds(options, Seeds(own < 600 ? 5 : 2));
  }
}

// Guards against marks whose size grows with prompts of 1,600 parts.
TEST_CASE("a part of 1,600 is blamed at 195 daemons") {
  Options options;
  options.daemons = 195;
  options.groups = 40;
  options.requests_per_s = 60;
  options.common_parts = 30;
  options.own_parts = 1'570;
  CheckWorlds(options, Seeds(1));
}

// Guards against marks that are lost or outdated when daemons restart or are
// cut off while servers end, also for other reasons.
TEST_CASE("blame holds through restarts, cuts and other crashes") {
  for (int daemons : {6, 73, 195}) {
    Options options;
    options.daemons = daemons;
    options.groups = daemons < 70 ? 12 : 40;
    options.requests_per_s = daemons < 70 ? 60 : 300;
    options.disturbed = true;
    CheckWorlds(options, Seeds(daemons < 70 ? 10 : 1));
  }
}

}  // namespace clementine
