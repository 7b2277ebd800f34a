// Lines are cut at LF, with an optional CR before it; a blank line ends an
// event. Nothing of the data is parsed, so the cost of a token is one scan.

#include <charconv>
#include <utility>

#include "net/net.h"

namespace clementine {
namespace {

/// Longest event; a longer one breaks the attempt.
constexpr std::size_t kMaxEventBytes = 262'144;

std::string_view Value(std::string_view line, std::size_t colon) {
  line.remove_prefix(colon + 1);
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

}  // namespace

EventStreamReader::EventStreamReader(std::string attempt, std::uint64_t offset)
    : m_attempt(std::move(attempt)), m_offset(offset) {}

void EventStreamReader::Read(std::string_view bytes,
                             const TokenHandler& token) {
  while (!bytes.empty() && !m_done && m_fault == Fault::kNone) {
    std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos ||
        m_partial.size() + end > kMaxEventBytes) {
      m_partial.append(bytes);
      if (m_partial.size() > kMaxEventBytes) m_fault = Fault::kOversized;
      return;
    }
    if (m_partial.empty()) {
      Line(bytes.substr(0, end), token);
    } else {
      m_partial.append(bytes.substr(0, end));
      std::string line = std::exchange(m_partial, {});
      Line(line, token);
    }
    bytes.remove_prefix(end + 1);
  }
}

void EventStreamReader::Line(std::string_view line, const TokenHandler& token) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) {
    EndEvent(token);
    return;
  }
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  std::string_view name = line.substr(0, colon);
  std::string_view value = Value(line, colon);
  if (name == "data") {
    if (m_data.size() + value.size() > kMaxEventBytes) {
      m_fault = Fault::kOversized;
      return;
    }
    if (m_has_data) m_data.push_back('\n');
    m_data.append(value);
    m_has_data = true;
  } else if (name == "id") {
    m_id.assign(value);
  } else if (name == "event") {
    m_event.assign(value);
  }
}

void EventStreamReader::EndEvent(const TokenHandler& token) {
  if (m_event == "error") {
    m_fault = Fault::kErrorEvent;
  } else if (m_has_data && m_data == "[DONE]") {
    m_done = true;
  } else if (m_has_data) {
    std::optional<std::uint64_t> offset = OwnOffset();
    if (!offset || *offset < m_offset) {
      ++m_dropped;
    } else if (*offset > m_offset) {
      m_fault = Fault::kGap;
    } else {
      ++m_offset;
      token(m_data);
    }
  }
  m_id.clear();
  m_data.clear();
  m_event.clear();
  m_has_data = false;
}

std::optional<std::uint64_t> EventStreamReader::OwnOffset() const {
  if (m_id.size() <= m_attempt.size() + 1 || !m_id.starts_with(m_attempt) ||
      m_id[m_attempt.size()] != ':') {
    return std::nullopt;
  }
  std::uint64_t offset = 0;
  const char* end = m_id.data() + m_id.size();
  auto [stop, error] =
      std::from_chars(m_id.data() + m_attempt.size() + 1, end, offset);
  if (error != std::errc() || stop != end) return std::nullopt;
  return offset;
}

}  // namespace clementine
