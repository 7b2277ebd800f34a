// Of an event, only the id is parsed. Event ids increase. Events of a
// resumed answer that were already delivered are dropped. An event that skips a
// number ends the answer, because the events in between are lost. An event
// without a number ends it as well, because it is not part of this stream.

#include "daemon/relay_stream.h"

#include <algorithm>
#include <charconv>

namespace clementine {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
/// Events that end with it are not split, but passed on at the end.
constexpr std::string_view kCrlfEventEnd = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

std::string_view EventId(std::string_view event) {
  while (!event.empty()) {
    std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
      while (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      return line;
    }
    event.remove_prefix(std::min(end + 1, event.size()));
  }
  return {};
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || stop != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string RelayStream::ExtractEvents(std::string_view bytes) {
  // Earlier bytes contain no event end, but the last one may be the first half
  // of one.
  std::size_t from = m_partial.empty() ? 0 : m_partial.size() - 1;
  m_partial.append(bytes);
  std::string accepted;
  std::size_t begin = 0;
  std::size_t end = 0;
  while ((end = m_partial.find(kEventEnd, std::max(begin, from))) !=
         std::string::npos) {
    end += kEventEnd.size();
    std::string_view event(m_partial.data() + begin, end - begin);
    if (AcceptEvent(event)) accepted.append(event);
    begin = end;
  }
  m_partial.erase(0, begin);
  return accepted;
}

bool RelayStream::AcceptEvent(std::string_view event) {
  if (m_broken) return false;
  std::string_view id = EventId(event);
  std::optional<std::int64_t> number = ParseNumber(id);
  if (m_resumed && m_last_number) {
    if (number && *number <= *m_last_number) return false;
    if (!number || *number != *m_last_number + 1) {
      m_broken = true;
      return false;
    }
  }
  if (!id.empty()) {
    m_last_id = id;
    m_last_number = number;
  }
  ++m_events;
  m_has_new_event = true;
  return true;
}

std::string RelayStream::Finish() {
  std::string rest;
  bool whole_events = !m_resumed && m_partial.ends_with(kCrlfEventEnd);
  if (!m_partial.empty() && !whole_events) m_broken = true;
  if (!m_broken) rest.swap(m_partial);
  return rest;
}

void RelayStream::Restart() {
  m_partial.clear();
  m_resumed = m_events > 0;
  m_has_new_event = false;
  m_broken = false;
}

}  // namespace clementine
