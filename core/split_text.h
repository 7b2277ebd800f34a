// Parses texts that daemons exchange.
#ifndef CORE_SPLIT_TEXT_H_
#define CORE_SPLIT_TEXT_H_

#include <algorithm>
#include <string>

namespace clementine {

/// Removes the text up to and including the first separator, or all of the text
/// if there is no separator.
/// @return The text before the separator.
inline std::string TakeUntilSeparator(std::string* text, char separator) {
  std::size_t end = std::min(text->find(separator), text->size());
  std::string part = text->substr(0, end);
  text->erase(0, end + 1);
  return part;
}

}  // namespace clementine

#endif  // CORE_SPLIT_TEXT_H_
