// The sender repeats its notices while the platform does not accept the marks;
// lost notices are therefore not retried here.

#include "daemon/crash_notices.h"

#include <utility>

#include "net/http_status.h"

namespace clementine {
namespace {

/// Daemons answer within milliseconds; a partitioned daemon doesn't answer.
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kAnswerTimeout{500};
constexpr std::size_t kMaxRunningCalls = 32;
/// Of answers, which are empty or one line.
constexpr std::size_t kMaxHeldBytes = 1'048'576;
constexpr char kCodeHeader[] = "X-Notice-Code";

BackendOptions ClientOptions() {
  BackendOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_idle_per_address = 0;
  options.max_held_bytes = kMaxHeldBytes;
  return options;
}

}  // namespace

const char CrashNotices::kPath[] = "/crashes";

CrashNotices::CrashNotices(boost::asio::io_context* io, ChangeKeys keys,
                           std::function<void(const std::string&)> on_notice)
    : m_keys(std::move(keys)),
      m_on_notice(std::move(on_notice)),
      m_client(io, ClientOptions()) {}

void CrashNotices::SendNotice(const std::vector<std::string>& addresses,
                              const std::string& text) {
  m_text = std::make_shared<const std::string>(text);
  m_code = SignNotice(m_keys, text);
  m_pending_addresses.assign(addresses.begin(), addresses.end());
  SendNext();
}

void CrashNotices::SendNext() {
  while (m_running_calls < kMaxRunningCalls && !m_pending_addresses.empty()) {
    BackendCall call;
    call.relay = true;
    call.address = std::move(m_pending_addresses.front());
    m_pending_addresses.pop_front();
    call.method = "POST";
    call.target = kPath;
    call.body = m_text;
    call.headers = {{"Host", call.address}};
    if (!m_code.empty()) call.headers.emplace_back(kCodeHeader, m_code);
    call.idempotent = false;
    call.first_byte_timeout = kAnswerTimeout;
    call.gap_timeout = kAnswerTimeout;
    call.total_timeout = kAnswerTimeout;
    BackendHandlers handlers;
    handlers.end = [this, address = call.address](const BackendEnd& end) {
      if (end.status != http_status::kOk) {
        LogEvent("crash_notice_failed", {{"to", address},
                                         {"status", std::to_string(end.status)},
                                         {"detail", end.detail}});
      }
      --m_running_calls;
      SendNext();
    };
    ++m_running_calls;
    m_client.Start(std::move(call), std::move(handlers));
  }
}

void CrashNotices::Accept(HttpExchange* exchange) {
  const HttpRequest& request = exchange->request();
  if (request.method != "POST") {
    exchange->Answer(http_status::kBadRequest, {}, "unknown request\n");
    return;
  }
  if (!VerifyNotice(m_keys, request.body,
                    FindHeader(request.headers, kCodeHeader))) {
    LogEvent("crash_notice_rejected", {{"reason", "not authentic"}});
    exchange->Answer(http_status::kUnauthorized, {}, "not authentic\n");
    return;
  }
  m_on_notice(request.body);
  exchange->Answer(http_status::kOk, {}, "");
}

}  // namespace clementine
