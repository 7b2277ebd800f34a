// What process-level tests are built from: programs that are started and always
// ended, HTTP calls, event streams that are read in the background, and a TCP
// link that can be cut.
//
//   Process platform({BinaryPath("platform_standin")});
//   CHECK(Fetch(platform.address(), "GET", "/v1/hosts").status == 200);
//   CHECK(WaitFor(std::chrono::seconds(5), [&] { return ...; }));
//
// Conditions are polled; a timeout only bounds how long a failing test takes.
#ifndef TESTING_PROCESS_HARNESS_H_
#define TESTING_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace clementine::testing {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Longest wait of a check, also on a busy machine.
inline constexpr std::chrono::seconds kLongWait{30};

/// Path of a program of this build, next to the running test program.
std::string BinaryPath(const std::string& name);

/// Polls a condition. @return Whether it held within `timeout`.
bool WaitFor(std::chrono::milliseconds timeout,
             const std::function<bool()>& condition);

/// Folder that is removed with its files at the end of the test.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /// Writes a file. @return Its path.
  std::string Write(const std::string& name, const std::string& text) const;
  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

/// A started program. Its end is certain: the destructor kills it.
class Process {
 public:
  /// Starts it; standard output and error go to a log.
  /// @throws std::runtime_error when it can't be started.
  explicit Process(std::vector<std::string> arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Value of `key` in the first line of the log that has `event=listening`
  /// (stand-ins) or `event=started` (daemon).
  /// @throws std::runtime_error when there's none in time.
  std::string Listening(const std::string& key);
  std::string address() { return Listening("address"); }

  /// Everything that it has written so far.
  std::string Log() const;

  /// Sends a signal to it, such as SIGSTOP.
  void Signal(int signal);

  /// Waits for its end. @return The exit status, 128 + signal when a signal
  /// ended it, or nothing when it's still running after `timeout`.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout = kLongWait);

  pid_t pid() const { return m_pid; }

 private:
  pid_t m_pid = -1;
  int m_log = -1;
  std::optional<int> m_status;
  std::vector<std::string> m_arguments;
};

/// Runs a program to its end. @return Exit status and what it has written.
std::pair<int, std::string> Run(std::vector<std::string> arguments,
                                std::chrono::milliseconds timeout = kLongWait);

struct Answer {
  int status = 0;  ///< 0 when no answer arrived.
  std::string body;
  Headers headers;
  /// Value of a header by case-insensitive name, or "".
  std::string Header(const std::string& name) const;
  /// Body as JSON; a discarded value when it isn't JSON.
  nlohmann::json Json() const;
};

/// One HTTP request on a connection of its own.
Answer Fetch(const std::string& address, const std::string& method,
             const std::string& target, const std::string& body = "",
             const Headers& headers = {},
             std::chrono::milliseconds timeout = kLongWait);

/// Switches faults of a stand-in. @throws std::runtime_error on failure.
void SetFaults(const std::string& address, const nlohmann::json& faults);

/// Body of a chat request.
std::string ChatBody(const std::string& model, const std::string& prompt,
                     int max_tokens, bool stream);

/// A streamed answer, read by a thread of its own.
class EventStream {
 public:
  /// Sends the request.
  EventStream(const std::string& address, const std::string& target,
              const std::string& body, const Headers& headers);
  /// Closes the connection.
  ~EventStream();
  EventStream(const EventStream&) = delete;
  EventStream& operator=(const EventStream&) = delete;

  int status() const;        ///< 0 before the answer has started.
  int tokens() const;        ///< Tokens received so far.
  std::string text() const;  ///< All tokens joined.
  std::string raw() const;   ///< All bytes of the answer, head included.
  bool done() const;         ///< Whether `data: [DONE]` has arrived.
  bool error() const;        ///< Whether an `event: error` has arrived.
  bool ended() const;        ///< Whether the connection has ended.
  bool WaitForTokens(int count) const;
  bool WaitForEnd() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// TCP proxy in front of an address. Cutting drops bytes silently and keeps the
/// connections open, as a network that loses packets does; connections made
/// while a direction is cut are accepted and stay cut until it is restored.
class Link {
 public:
  explicit Link(const std::string& target);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  std::string address() const;
  /// Cuts or restores each direction, also for present connections. Bytes that
  /// arrive at a cut direction are held and are delivered when it's restored.
  void Cut(bool to_target, bool from_target);
  /// Present connections transfer nothing anymore; new ones work.
  void SilencePresent();
  /// Closes all present connections.
  void ClosePresent();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace clementine::testing

#endif  // TESTING_PROCESS_HARNESS_H_
