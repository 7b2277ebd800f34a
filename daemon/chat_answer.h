// Merges the events of an engine's stream into one chat completion.
#ifndef DAEMON_CHAT_ANSWER_H_
#define DAEMON_CHAT_ANSWER_H_

#include <string>
#include <vector>

namespace clementine {

/// @param events Data of all token events, in order.
/// @return A chat completion as JSON text.
/// @throws std::runtime_error if an event is not a chat completion chunk.
std::string JoinChatEvents(const std::vector<std::string>& events);

}  // namespace clementine

#endif  // DAEMON_CHAT_ANSWER_H_
