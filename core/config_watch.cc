// A head refers to its sections by digest, so that unchanged sections of the
// configuration in force are reused and only changed ones are read. A
// configuration is never applied in part: the previous one stays in force until
// all sections of the new head have arrived and parse without findings.

#include "core/config_watch.h"

#include <stdexcept>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

constexpr char kSectionPrefix[] = "config/section/";
/// Failed attempts to read a section for each log line.
constexpr int kAttemptsPerLogLine = 16;

}  // namespace

void ConfigWatch::OfferHead(const std::string& json, TimePoint now,
                            Actions* out) {
  ConfigHead head;
  try {
    head = DecodeHead(json);
  } catch (const std::runtime_error& error) {
    out->push_back(LogDecision{"config_head_damaged", {{"why", error.what()}}});
    return;
  }
  bool reverts = head.generation <= m_adopted.generation &&
                 m_mutation != Mutation::kRevertGeneration;
  if (reverts || head.generation <= m_rejected_generation ||
      (m_pending_head && head.generation <= m_pending_head->generation)) {
    return;
  }
  m_pending_head = std::move(head);
  m_fetches.clear();
  for (const auto& [name, digest] : m_pending_head->sections) {
    if (m_texts.count(digest) == 0) {
      m_fetches[digest].next = now;
    }
  }
  TryAdopt(now, out);
  Advance(now, out);
}

void ConfigWatch::OfferSection(const std::string& digest,
                               const std::string& text,
                               const std::string& source, TimePoint now,
                               Actions* out) {
  auto found = m_fetches.find(digest);
  if (found == m_fetches.end()) {
    return;
  }
  if (TextDigest(text) != digest) {
    ScheduleRetry(digest, "damaged", now, out);
    out->push_back(LogDecision{"config_section_damaged",
                               {{"digest", digest}, {"source", source}}});
    return;
  }
  m_texts[digest] = text;
  m_fetches.erase(found);
  TryAdopt(now, out);
}

void ConfigWatch::OnReply(const std::string& key, const ObjectReply& reply,
                          TimePoint now, Actions* out) {
  std::string digest = key.substr(sizeof(kSectionPrefix) - 1);
  auto found = m_fetches.find(digest);
  if (found == m_fetches.end()) {
    return;
  }
  found->second.pending = false;
  if (reply.status == ObjectStatus::kOk) {
    OfferSection(digest, reply.value, "platform", now, out);
  } else {
    ScheduleRetry(
        digest,
        reply.status == ObjectStatus::kNotFound ? "missing" : "unavailable",
        now, out);
  }
}

void ConfigWatch::Advance(TimePoint now, Actions* out) {
  for (auto& [digest, fetch] : m_fetches) {
    if (!fetch.pending && now >= fetch.next) {
      fetch.pending = m_calls->Get(CallOwner::kConfig, kSectionPrefix + digest,
                                   now, out) != 0;
    }
  }
}

std::vector<std::string> ConfigWatch::MissingSections() const {
  std::vector<std::string> missing;
  for (const auto& [digest, fetch] : m_fetches) {
    missing.push_back(digest);
  }
  return missing;
}

const std::string* ConfigWatch::FindSection(const std::string& digest) const {
  auto found = m_texts.find(digest);
  return found == m_texts.end() ? nullptr : &found->second;
}

void ConfigWatch::TryAdopt(TimePoint now, Actions* out) {
  if (!m_pending_head || !m_fetches.empty()) {
    return;
  }
  std::vector<ConfigSection> sections;
  for (const auto& [name, digest] : m_pending_head->sections) {
    sections.push_back({name, digest, m_texts.at(digest)});
  }
  ParseResult result = JoinSections(sections);
  ConfigHead head = std::move(*m_pending_head);
  m_pending_head.reset();
  if (!result.findings.empty()) {
    m_rejected_generation = head.generation;
    out->push_back(
        LogDecision{"config_rejected",
                    {{"generation", std::to_string(head.generation)},
                     {"finding", FormatFinding(result.findings.front())}}});
    return;
  }
  m_adopted = std::move(head);
  m_configuration =
      std::make_shared<const Configuration>(std::move(result.configuration));
  std::map<std::string, std::string> in_use;
  for (const auto& [name, digest] : m_adopted.sections) {
    in_use[digest] = m_texts.at(digest);
  }
  m_texts = std::move(in_use);
  (void)now;
  out->push_back(
      LogDecision{"config_adopted",
                  {{"generation", std::to_string(m_adopted.generation)},
                   {"apply_id", m_adopted.apply_id},
                   {"author", m_adopted.author}}});
  out->push_back(ConfigurationChanged{m_adopted.generation, m_configuration});
}

void ConfigWatch::ScheduleRetry(const std::string& digest, const char* fault,
                                TimePoint now, Actions* out) {
  Fetch& fetch = m_fetches[digest];
  fetch.next = fetch.backoff.OnFailure(now, m_jitter);
  if (fetch.backoff.failures() % kAttemptsPerLogLine == 1) {
    out->push_back(
        LogDecision{"config_section_retry",
                    {{"digest", digest},
                     {"fault", fault},
                     {"in_force", std::to_string(m_adopted.generation)}}});
  }
}

}  // namespace clementine
