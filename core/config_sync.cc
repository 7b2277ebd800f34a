#include "core/config_sync.h"

#include <algorithm>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

/// Number of earlier heads that are retained to compute deltas. A daemon with
/// an older generation gets the complete head. With a change every 7 s the
/// heads cover 3.7 minutes.
constexpr std::size_t kMaxRetainedHeads = 32;

/// Maximum size of the section texts in one delta, in bytes, so that a large
/// change doesn't delay pings on the same connection. A larger text is sent
/// alone.
constexpr std::size_t kMaxDeltaTextBytes = 128'000;

}  // namespace

void ConfigSync::SetCurrent(ConfigSnapshot current) {
  if (current.head.generation <= m_current.head.generation) return;
  if (m_current.head.generation > 0) {
    m_history.push_back(std::move(m_current.head));
    if (m_history.size() > kMaxRetainedHeads) m_history.pop_front();
  }
  m_current = std::move(current);
  m_digest = HeadDigest(m_current.head);
  if (m_incomplete &&
      m_incomplete->head.generation <= m_current.head.generation) {
    m_incomplete.reset();
  }
}

bool ConfigSync::IsBehind(const PeerMessage& message) const {
  return message.generation > m_current.head.generation;
}

ConfigPull ConfigSync::MakePull() const {
  return {m_current.head.generation, m_digest, {}};
}

void ConfigSync::AddTexts(const std::map<std::string, std::string>& sections,
                          ConfigDelta* delta) const {
  std::size_t bytes = 0;
  for (const auto& [name, digest] : sections) {
    auto found = m_current.texts.find(digest);
    if (found == m_current.texts.end()) continue;
    bytes += found->second.size();
    // A text above the limit is sent alone; otherwise it would never be sent.
    if (bytes > kMaxDeltaTextBytes && !delta->texts.empty()) return;
    delta->texts.emplace(digest, found->second);
  }
}

ConfigDelta ConfigSync::FullHead() const {
  ConfigDelta delta;
  delta.head = m_current.head;
  delta.head_digest = m_digest;
  AddTexts(m_current.head.sections, &delta);
  return delta;
}

ConfigDelta ConfigSync::Difference(const ConfigHead& base) const {
  ConfigDelta delta;
  delta.base = base.generation;
  delta.head = m_current.head;
  delta.head.sections.clear();
  delta.head_digest = m_digest;
  for (const SectionChange& change : DiffHeads(base, m_current.head)) {
    if (change.kind == SectionChange::Kind::kRemoved) {
      delta.removed.push_back(change.name);
    } else {
      delta.head.sections[change.name] =
          m_current.head.sections.at(change.name);
    }
  }
  AddTexts(delta.head.sections, &delta);
  return delta;
}

std::optional<ConfigDelta> ConfigSync::AnswerPull(
    const ConfigPull& pull) const {
  if (pull.generation >= m_current.head.generation) return std::nullopt;
  if (!pull.sections.empty()) {
    ConfigDelta delta = FullHead();
    delta.texts.clear();
    std::map<std::string, std::string> requested;
    for (const std::string& digest : pull.sections) requested[digest] = digest;
    AddTexts(requested, &delta);
    return delta;
  }
  for (const ConfigHead& head : m_history) {
    if (head.generation == pull.generation &&
        HeadDigest(head) == pull.head_digest) {
      return Difference(head);
    }
  }
  return FullHead();
}

ConfigSync::DeltaResult ConfigSync::ReceiveDelta(const ConfigDelta& delta) {
  DeltaResult result;
  if (delta.head.generation <= m_current.head.generation) return result;
  if (delta.base != 0 && delta.base != m_current.head.generation) {
    result.error =
        "base generation of the delta is not in force at this daemon";
    return result;
  }
  ConfigSnapshot next;
  next.head = delta.head;
  if (delta.base != 0) {
    auto sections = m_current.head.sections;
    for (const std::string& name : delta.removed) sections.erase(name);
    for (const auto& [name, digest] : delta.head.sections) {
      sections[name] = digest;
    }
    next.head.sections = std::move(sections);
  }
  if (HeadDigest(next.head) != delta.head_digest) {
    result.error = "digest of the resulting head does not match the delta";
    return result;
  }
  if (m_incomplete && m_incomplete->head.generation == next.head.generation) {
    next.texts = std::move(m_incomplete->texts);
    m_incomplete.reset();
  }
  for (const auto& [digest, text] : delta.texts) {
    if (TextDigest(text) != digest) {
      result.error =
          fmt::format("text of section {} does not match its digest", digest);
      return result;
    }
    next.texts[digest] = text;
  }
  ConfigPull pull = MakePull();
  for (const auto& [name, digest] : next.head.sections) {
    auto known = m_current.texts.find(digest);
    if (known != m_current.texts.end()) {
      next.texts.emplace(digest, known->second);
    } else if (next.texts.count(digest) == 0) {
      pull.sections.push_back(digest);
    }
  }
  if (pull.sections.empty()) {
    result.candidate = std::move(next);
  } else {
    m_incomplete = std::move(next);
    result.pull = std::move(pull);
  }
  return result;
}

}  // namespace clementine
