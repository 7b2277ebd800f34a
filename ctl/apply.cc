// Applies a whole set of files or nothing. Sections that the platform lacks are
// written first; they have no effect until one conditional update of the head
// names them. That update may be repeated as long as its condition is the same:
// it takes effect at most once, and the apply id in the head tells whether it
// did. An apply that others superseded at once is found in the head's list of
// earlier applies.

#include <algorithm>

#include "ctl/ctl.h"
#include "fmt/format.h"

namespace clementine::ctl {
namespace {

constexpr milliseconds kRetryDelay{300};

// One apply, from reading the head to its outcome.
class Applying {
 public:
  Applying(const ApplyOptions& options, const Session& session)
      : m_options(options),
        m_session(session),
        m_deadline(session.now() + options.timeout) {}

  int Run() {
    Configuration configuration;
    int code = LoadFiles(m_options.files, m_session, &configuration);
    if (code == kExitOk) code = ReadHead(m_session, &m_base);
    if (code != kExitOk) return code;
    m_sections = SplitSections(configuration);
    m_head = HeadOf(m_sections);
    if (m_options.expect && *m_options.expect != m_base.head.generation) {
      return ReportConflict(m_base.head);
    }
    auto changes = DiffHeads(m_base.head, m_head);
    std::uint64_t generation = m_base.head.generation;
    if (changes.empty() && generation > 0) {
      m_session.out(fmt::format("no differences; generation {} stays accepted",
                                generation));
    } else {
      FillHead();
      code = WriteSections();
      if (code == kExitOk) code = WriteHead();
      if (code != kExitOk) return code;
      generation = m_head.generation;
      for (const SectionChange& change : changes) {
        m_session.out(FormatChange(change));
      }
      m_session.out(fmt::format("accepted: generation {}", generation));
    }
    if (!m_options.wait) return kExitOk;
    auto left =
        std::chrono::duration_cast<milliseconds>(m_deadline - m_session.now());
    return WaitInForce(generation, configuration, left, m_session);
  }

 private:
  void FillHead() {
    const ConfigHead& base = m_base.head;
    m_head.generation = base.generation + 1;
    m_head.apply_id = m_session.new_apply_id();
    m_head.author = m_options.author;
    m_head.earlier_applies = base.earlier_applies;
    if (!base.apply_id.empty()) {
      m_head.earlier_applies.insert(m_head.earlier_applies.begin(),
                                    base.apply_id);
    }
    if (m_head.earlier_applies.size() > kMaxEarlierApplies) {
      m_head.earlier_applies.resize(kMaxEarlierApplies);
    }
  }

  // Waits before the next try; returns false when the time is over.
  bool WaitForRetry() const {
    if (m_session.now() + kRetryDelay >= m_deadline) return false;
    m_session.sleep(kRetryDelay);
    return true;
  }

  // Creates the sections that the accepted head doesn't list. A section that
  // exists already was written by an earlier apply: its key is its digest.
  int WriteSections() const {
    for (const ConfigSection& section : m_sections) {
      auto listed = m_base.head.sections.find(section.name);
      if (listed != m_base.head.sections.end() &&
          listed->second == section.digest) {
        continue;
      }
      int code = WriteSection(section);
      if (code != kExitOk) return code;
    }
    return kExitOk;
  }

  int WriteSection(const ConfigSection& section) const {
    while (true) {
      ObjectReply reply =
          m_session.put({0, kSectionPrefix + section.digest, section.text, 0});
      if (reply.status == ObjectStatus::kOk) return kExitOk;
      if (reply.status == ObjectStatus::kConflict) {
        if (reply.value == section.text) return kExitOk;
        m_session.error(
            fmt::format("object {}{} doesn't have the text that "
                        "its name promises; nothing was changed",
                        kSectionPrefix, section.digest));
        return kExitDamaged;
      }
      if (!WaitForRetry()) {
        m_session.error("the platform can't be reached; nothing was changed");
        return kExitUnavailable;
      }
    }
  }

  int WriteHead() {
    bool may_be_applied = false;
    while (true) {
      ObjectReply reply =
          m_session.put({0, kHeadKey, EncodeHead(m_head), m_base.version});
      if (reply.status == ObjectStatus::kOk) return kExitOk;
      if (reply.status == ObjectStatus::kConflict) {
        return Settle(reply.value, may_be_applied);
      }
      if (reply.status == ObjectStatus::kUnknown) may_be_applied = true;
      if (WaitForRetry()) continue;
      if (!may_be_applied) {
        m_session.error("the platform can't be reached; nothing was changed");
        return kExitUnavailable;
      }
      return ReportUnknown("the platform's answer was lost");
    }
  }

  // Decides the outcome from the head that is there instead.
  int Settle(const std::string& value, bool may_be_applied) {
    ConfigHead winner;
    try {
      winner = DecodeHead(value);
    } catch (const std::runtime_error& error) {
      m_session.error(fmt::format("object {}: {}", kHeadKey, error.what()));
      return may_be_applied ? kExitUnknown : kExitDamaged;
    }
    if (winner.apply_id == m_head.apply_id) return kExitOk;
    const auto& earlier = winner.earlier_applies;
    if (std::find(earlier.begin(), earlier.end(), m_head.apply_id) !=
        earlier.end()) {
      m_session.out(fmt::format("generation {} by {} has followed since",
                                winner.generation, Printable(winner.author)));
      return kExitOk;
    }
    // The list of earlier applies reaches back to the base: ours isn't in it.
    bool list_is_complete =
        winner.generation - m_base.head.generation <= earlier.size() + 1;
    if (may_be_applied && !list_is_complete) {
      return ReportUnknown("many other applies have followed");
    }
    return ReportConflict(winner);
  }

  int ReportConflict(const ConfigHead& winner) const {
    m_session.error(fmt::format(
        "conflict: generation {} by {} was accepted first; nothing was changed",
        winner.generation, Printable(winner.author)));
    m_session.error("sections of your files that differ from it:");
    auto changes = DiffHeads(winner, m_head);
    for (const SectionChange& change : changes) {
      m_session.error("  " + FormatChange(change));
    }
    if (changes.empty()) m_session.error("  none");
    return kExitConflict;
  }

  int ReportUnknown(const std::string& reason) const {
    m_session.error(
        fmt::format("it can't be told whether the apply was accepted: {}; "
                    "compare with 'diff' (apply id {})",
                    reason, m_head.apply_id));
    return kExitUnknown;
  }

  const ApplyOptions& m_options;
  const Session& m_session;
  TimePoint m_deadline;
  CurrentHead m_base;
  std::vector<ConfigSection> m_sections;
  ConfigHead m_head;
};

}  // namespace

int Apply(const ApplyOptions& options, const Session& session) {
  return Applying(options, session).Run();
}

}  // namespace clementine::ctl
