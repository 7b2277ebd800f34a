// Programs write to an unlinked temporary file instead of a pipe, so that one
// that writes much is never blocked by a test that doesn't read.

#include "testing/process_harness.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

#include "config/config.h"
#include "fmt/format.h"
#include "testing/standin_http.h"

namespace clementine::testing {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::chrono::milliseconds kPoll{5};

std::string TemporaryPattern() {
  return (std::filesystem::temp_directory_path() / "clementine-XXXXXX")
      .string();
}

int OpenLog() {
  std::string name = TemporaryPattern();
  int file = ::mkostemp(name.data(), O_CLOEXEC | O_APPEND);
  if (file < 0) throw std::runtime_error("can't create a log file");
  ::unlink(name.c_str());
  return file;
}

pid_t Spawn(const std::vector<std::string>& arguments, int log) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&actions, log, 1);
  posix_spawn_file_actions_adddup2(&actions, log, 2);
  pid_t pid = -1;
  int error =
      ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error(
        fmt::format("can't start {}: error {}", arguments.front(), error));
  }
  return pid;
}

}  // namespace

std::string BinaryPath(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name)
      .string();
}

bool WaitFor(std::chrono::milliseconds timeout,
             const std::function<bool()>& condition) {
  auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

TemporaryFolder::TemporaryFolder() : m_path(TemporaryPattern()) {
  if (::mkdtemp(m_path.data()) == nullptr) {
    throw std::runtime_error("can't create a temporary folder");
  }
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::Write(const std::string& name,
                                   const std::string& text) const {
  std::string path = m_path + "/" + name;
  std::ofstream(path) << text;
  return path;
}

Process::Process(std::vector<std::string> arguments)
    : m_log(OpenLog()), m_arguments(std::move(arguments)) {
  try {
    m_pid = Spawn(m_arguments, m_log);
  } catch (...) {
    ::close(m_log);
    throw;
  }
}

Process::~Process() {
  if (!m_status) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
  ::close(m_log);
}

std::string Process::Listening(const std::string& key) {
  std::string value;
  auto find = [&] {
    std::string log = Log();
    std::size_t line =
        std::min(log.find("event=listening "), log.find("event=started "));
    std::size_t end = log.find('\n', line);
    if (line == std::string::npos || end == std::string::npos) return false;
    std::size_t field = log.find(" " + key + "=", line);
    if (field == std::string::npos || field > end) return false;
    field += key.size() + 2;
    value = log.substr(field, log.find_first_of(" \n", field) - field);
    return true;
  };
  bool found = WaitFor(kLongWait, [&] {
    return find() || WaitForExit(std::chrono::milliseconds(0)).has_value();
  });
  if (!found || value.empty()) {
    throw std::runtime_error(fmt::format("no {} in the log of {}:\n{}", key,
                                         m_arguments.front(), Log()));
  }
  return value;
}

std::string Process::Log() const {
  std::string log;
  std::array<char, 65536> part;
  ssize_t got = 0;
  while ((got = ::pread(m_log, part.data(), part.size(),
                        static_cast<off_t>(log.size()))) > 0) {
    log.append(part.data(), static_cast<std::size_t>(got));
  }
  return log;
}

void Process::Signal(int signal) {
  if (!m_status) ::kill(m_pid, signal);
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds timeout) {
  WaitFor(timeout, [this] {
    if (m_status) return true;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
  });
  return m_status;
}

std::pair<int, std::string> Run(std::vector<std::string> arguments,
                                std::chrono::milliseconds timeout) {
  Process process(std::move(arguments));
  std::optional<int> status = process.WaitForExit(timeout);
  return {status.value_or(-1), process.Log()};
}

std::string Answer::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (beast::iequals(key, name)) return value;
  }
  return "";
}

nlohmann::json Answer::Json() const { return TryParseJson(body); }

Answer Fetch(const std::string& address, const std::string& method,
             const std::string& target, const std::string& body,
             const Headers& headers, std::chrono::milliseconds timeout) {
  asio::io_context io(1);
  auto answer = asio::co_spawn(
      io, standin::Call(address, method, target, body, headers, timeout),
      asio::use_future);
  io.run();
  standin::HttpAnswer got = answer.get();
  return {got.status, std::move(got.body), std::move(got.headers)};
}

void SetFaults(const std::string& address, const nlohmann::json& faults) {
  Answer answer = Fetch(address, "POST", "/faults", JsonText(faults));
  if (answer.status != 200) {
    throw std::runtime_error(
        fmt::format("faults at {}: status {}", address, answer.status));
  }
}

std::string ChatBody(const std::string& model, const std::string& prompt,
                     int max_tokens, bool stream) {
  nlohmann::json message = {{"role", "user"}, {"content", prompt}};
  nlohmann::json body = {{"model", model},
                         {"messages", nlohmann::json::array({message})},
                         {"max_tokens", max_tokens},
                         {"stream", stream}};
  return JsonText(body);
}

// ---------------------------------------------------------------------------
// EventStream.

struct EventStream::State {
  std::string address;
  http::request<http::string_body> request;
  mutable std::mutex mutex;  ///< Guards what follows.
  int descriptor = -1;       ///< -1 when not connected.
  bool closing = false;
  int status = 0;
  std::string head;
  std::string body;
  bool ended = false;
  std::thread thread;

  void Read();
  void ReadAnswer(tcp::socket* socket);
  std::string Body() const {
    std::lock_guard lock(mutex);
    return body;
  }
};

void EventStream::State::Read() {
  asio::io_context io(1);
  tcp::socket socket(io);
  try {
    socket.connect(standin::ParseAddress(address));
    {
      std::lock_guard lock(mutex);
      descriptor = socket.native_handle();
      if (closing) ::shutdown(descriptor, SHUT_RDWR);
    }
    http::write(socket, request);
    ReadAnswer(&socket);
  } catch (const std::exception&) {
    // The answer ends where the connection does.
  }
  std::lock_guard lock(mutex);
  descriptor = -1;
  ended = true;
}

void EventStream::State::ReadAnswer(tcp::socket* socket) {
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read_header(*socket, buffer, parser);
  {
    std::lock_guard lock(mutex);
    status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get()) {
      head += fmt::format("{}: {}\n", std::string(field.name_string()),
                          std::string(field.value()));
    }
    body = parser.get().body();
  }
  while (!parser.is_done()) {
    http::read_some(*socket, buffer, parser);
    std::lock_guard lock(mutex);
    body = parser.get().body();
  }
}

EventStream::EventStream(const std::string& address, const std::string& target,
                         const std::string& body, const Headers& headers)
    : m_state(std::make_unique<State>()) {
  m_state->address = address;
  m_state->request = {http::verb::post, target, 11};
  m_state->request.set(http::field::host, address);
  for (const auto& [name, value] : headers) m_state->request.set(name, value);
  m_state->request.body() = body;
  m_state->request.prepare_payload();
  m_state->thread = std::thread([state = m_state.get()] { state->Read(); });
}

EventStream::~EventStream() {
  {
    std::lock_guard lock(m_state->mutex);
    m_state->closing = true;
    if (m_state->descriptor >= 0) {
      ::shutdown(m_state->descriptor, SHUT_RDWR);
    }
  }
  m_state->thread.join();
}

int EventStream::status() const {
  std::lock_guard lock(m_state->mutex);
  return m_state->status;
}

namespace {

/// Contents of the whole token events of a stream.
std::vector<std::string> ParseTokens(const std::string& body) {
  std::vector<std::string> tokens;
  std::size_t end = 0;
  for (std::size_t start = 0;
       (end = body.find('\n', start)) != std::string::npos; start = end + 1) {
    std::string line = body.substr(start, end - start);
    if (!line.starts_with("data: {")) continue;
    auto json = TryParseJson(line.substr(6));
    if (!json.is_object() || !json.contains("choices")) continue;
    tokens.push_back(
        json["choices"].at(0).at("delta").value("content", std::string()));
  }
  return tokens;
}

}  // namespace

int EventStream::tokens() const {
  return static_cast<int>(ParseTokens(m_state->Body()).size());
}

std::string EventStream::text() const {
  std::string text;
  for (const std::string& token : ParseTokens(m_state->Body())) text += token;
  return text;
}

std::string EventStream::raw() const {
  std::lock_guard lock(m_state->mutex);
  return m_state->head + "\n" + m_state->body;
}

bool EventStream::done() const {
  return m_state->Body().find("data: [DONE]") != std::string::npos;
}

bool EventStream::error() const {
  return m_state->Body().find("event: error") != std::string::npos;
}

bool EventStream::ended() const {
  std::lock_guard lock(m_state->mutex);
  return m_state->ended;
}

bool EventStream::WaitForTokens(int count) const {
  WaitFor(kLongWait, [&] { return tokens() >= count || ended(); });
  return tokens() >= count;
}

bool EventStream::WaitForEnd() const {
  return WaitFor(kLongWait, [&] { return ended(); });
}

// ---------------------------------------------------------------------------
// Link.

struct Link::State {
  struct Pair {
    explicit Pair(asio::io_context* io) : caller(*io), target(*io) {}
    tcp::socket caller;
    tcp::socket target;
    bool silent = false;
  };
  enum Direction { kToTarget = 0, kFromTarget = 1 };

  explicit State(const std::string& address)
      : target(standin::ParseAddress(address)),
        acceptor(io, standin::ParseAddress("127.0.0.1:0")) {}

  asio::io_context io{1};
  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Pair>> pairs;
  std::array<bool, 2> cut{false, false};
  std::thread thread;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Pair> pair);
  asio::awaitable<void> Pump(std::shared_ptr<Pair> pair, Direction direction);
  /// Runs a function on the link's thread and waits for it.
  void Do(const std::function<void()>& function) {
    std::promise<void> done;
    asio::post(io, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }
};

asio::awaitable<void> Link::State::Accept() {
  while (true) {
    auto pair = std::make_shared<Pair>(&io);
    co_await acceptor.async_accept(pair->caller, asio::use_awaitable);
    pairs.insert(pair);
    asio::co_spawn(io, Serve(pair), asio::detached);
  }
}

asio::awaitable<void> Link::State::Serve(std::shared_ptr<Pair> pair) {
  while (cut[kToTarget] || cut[kFromTarget]) {
    co_await standin::Sleep(kPoll);
  }
  boost::system::error_code error;
  co_await pair->target.async_connect(
      target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    pair->caller.close(error);
    pairs.erase(pair);
    co_return;
  }
  asio::co_spawn(io, Pump(pair, kToTarget), asio::detached);
  asio::co_spawn(io, Pump(pair, kFromTarget), asio::detached);
}

asio::awaitable<void> Link::State::Pump(std::shared_ptr<Pair> pair,
                                        Direction direction) {
  bool forward = direction == kToTarget;
  tcp::socket& from = forward ? pair->caller : pair->target;
  tcp::socket& to = forward ? pair->target : pair->caller;
  std::array<char, 16384> buffer;
  boost::system::error_code error;
  while (!error) {
    std::size_t size = co_await from.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    while (cut[direction] || pair->silent) {
      co_await standin::Sleep(kPoll);
    }
    if (error) break;
    co_await asio::async_write(
        to, asio::buffer(buffer.data(), size),
        asio::redirect_error(asio::use_awaitable, error));
  }
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  if (error != asio::error::eof) {
    from.close(ignored);
    to.close(ignored);
    pairs.erase(pair);
  }
}

Link::Link(const std::string& target)
    : m_state(std::make_unique<State>(target)) {
  asio::co_spawn(m_state->io, m_state->Accept(), asio::detached);
  m_state->thread = std::thread([state = m_state.get()] { state->io.run(); });
}

Link::~Link() {
  m_state->io.stop();
  m_state->thread.join();
}

std::string Link::address() const {
  auto endpoint = m_state->acceptor.local_endpoint();
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void Link::Cut(bool to_target, bool from_target) {
  m_state->Do([&] { m_state->cut = {to_target, from_target}; });
}

void Link::SilencePresent() {
  m_state->Do([&] {
    for (const auto& pair : m_state->pairs) pair->silent = true;
  });
}

void Link::ClosePresent() {
  m_state->Do([&] {
    boost::system::error_code ignored;
    for (const auto& pair : m_state->pairs) {
      pair->caller.close(ignored);
      pair->target.close(ignored);
    }
  });
}

}  // namespace clementine::testing
