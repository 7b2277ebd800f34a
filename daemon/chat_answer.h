// Joins the events of an engine's stream into one chat completion.
#ifndef DAEMON_CHAT_ANSWER_H_
#define DAEMON_CHAT_ANSWER_H_

#include <string>
#include <vector>

namespace clementine {

/// @param events The data of all token events, in order.
/// @return The JSON of a chat completion.
/// @throws std::runtime_error when an event isn't a completion chunk.
std::string JoinChatEvents(const std::vector<std::string>& events);

}  // namespace clementine

#endif  // DAEMON_CHAT_ANSWER_H_
