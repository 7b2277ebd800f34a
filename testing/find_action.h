// Finds an action or event of a given type in a list.
#ifndef TESTING_FIND_ACTION_H_
#define TESTING_FIND_ACTION_H_

#include <optional>
#include <variant>
#include <vector>

namespace clementine::testing {

/// @return The first element of type `Kind`, or nullopt.
template <typename Kind, typename Variant>
std::optional<Kind> FindAction(const std::vector<Variant>& actions) {
  for (const Variant& action : actions) {
    if (const auto* found = std::get_if<Kind>(&action)) return *found;
  }
  return std::nullopt;
}

}  // namespace clementine::testing

#endif  // TESTING_FIND_ACTION_H_
