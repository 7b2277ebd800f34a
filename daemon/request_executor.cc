// The state of a caller is kept until its final answer, the state of an attempt
// until it ends or is cancelled. A token costs one append to the caller's
// buffer: tokens are not parsed, and progress is fed to the request path at
// intervals.

#include "daemon/request_executor.h"

#include <algorithm>
#include <utility>

#include "daemon/answers.h"
#include "daemon/chat_answer.h"
#include "daemon/common_metrics.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using Clock = std::chrono::steady_clock;

/// Minimum interval between AttemptProgress events of an attempt. AttemptEnded
/// carries the exact offset.
constexpr std::chrono::milliseconds kProgressInterval{100};

/// Maximum size of an answer that is collected for a caller that does not
/// stream.
constexpr std::size_t kMaxCollectedBytes = 16'777'216;

constexpr const char* kEventStream = "text/event-stream";
constexpr const char* kJson = "application/json";

double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string Milliseconds(Clock::duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string ClassLabel(RequestClass request_class) {
  return fmt::format("class=\"{}\"", RequestClassName(request_class));
}

}  // namespace

/// A request without a final answer.
struct RequestExecutor::Caller {
  RequestId id = 0;
  std::shared_ptr<HttpExchange> exchange;  ///< Null after the caller left.
  ReadRequest read;
  AttemptId current = 0;  ///< The only attempt whose tokens are relayed.
  bool head_sent = false;
  std::uint64_t delivered = 0;      ///< Tokens relayed or collected.
  std::vector<std::string> events;  ///< Collected if the caller doesn't stream.
  std::size_t collected_bytes = 0;
  TimePoint arrived;
  TimePoint last_token;
  Metrics::Distribution* first_token_time = nullptr;
  Metrics::Distribution* token_gap = nullptr;
  // Answer of the attempt that ended last, stored until the request path
  // decides whether it becomes the final answer.
  AttemptId answered_by = 0;
  int status = 0;
  std::string content_type;
  std::string body;
};

struct RequestExecutor::Attempt {
  AttemptId id = 0;
  std::shared_ptr<Caller> caller;
  std::shared_ptr<BackendAttempt> call;
  std::string wire_id;
  std::string group;
  std::uint64_t epoch = 0;
  std::string address;
  TimePoint last_progress;
};

RequestExecutor::RequestExecutor(RequestContext context)
    : m_context(std::move(context)) {}

RequestExecutor::~RequestExecutor() { *m_alive = false; }

void RequestExecutor::Accept(std::shared_ptr<HttpExchange> exchange,
                             ReadRequest read) {
  auto caller = std::make_shared<Caller>();
  caller->id = ++m_last_request;
  caller->arrived = Clock::now();
  read.request.id = caller->id;
  Request request = read.request;
  std::string label = ClassLabel(request.request_class);
  if (request.service.empty()) {
    caller->first_token_time =
        m_context.metrics->Find("clementine_first_token_seconds", label);
    caller->token_gap =
        m_context.metrics->Find("clementine_token_gap_seconds", label);
  }
  m_context.metrics->Add("clementine_requests_total", label);
  exchange->SetLeaveHandler([this, alive = m_alive, id = caller->id] {
    if (!*alive) return;
    std::shared_ptr<Caller> departed = TakeCaller(id);
    if (!departed) return;
    departed->exchange.reset();
    LogAnswer(*departed, "left", 0);
    m_context.feed(CallerLeft{id});
  });
  caller->exchange = std::move(exchange);
  caller->read = std::move(read);
  // The request path keeps their hashes.
  caller->read.request.shared_parts = {};
  m_callers.emplace(caller->id, caller);
  m_context.feed(RequestArrived{std::move(request)});
}

void RequestExecutor::Execute(const RequestAction& action) {
  std::visit([this](const auto& value) { On(value); }, action);
}

void RequestExecutor::SetGroups(const std::vector<GroupView>& groups) {
  m_heads.clear();
  m_leaving_groups.clear();
  for (const GroupView& group : groups) {
    m_heads[group.group] = group.head_host;
    if (group.leaving) m_leaving_groups.insert(group.group);
  }
}

std::size_t RequestExecutor::unfinished() const {
  return m_callers.size() + m_attempts.size() + m_platform_calls;
}

// ---------------------------------------------------------------------------
// Attempts.

BackendCall RequestExecutor::MakeCall(const Dispatch& dispatch,
                                      const Caller& caller,
                                      const std::string& wire_attempt) const {
  const Request& request = caller.read.request;
  BackendCall call;
  call.address = dispatch.address;
  call.attempt = wire_attempt;
  call.body = caller.read.body;
  call.idempotent = request.idempotent;
  milliseconds remaining =
      std::chrono::ceil<milliseconds>(request.deadline - Clock::now());
  remaining = std::max(remaining, milliseconds(1));
  if (request.service.empty()) {
    call.target = "/v1/chat/completions";
    call.headers = {{"Content-Type", kJson},
                    {"X-Group", dispatch.group},
                    {"X-Group-Epoch", std::to_string(dispatch.epoch)},
                    {"X-Priority", std::to_string(dispatch.priority)}};
    call.event_stream = true;
    call.resume_offset = dispatch.resume_offset;
  } else {
    call.method = caller.read.method;
    call.target = caller.read.target;
    call.headers = caller.read.headers;
    if (!request.idempotency_key.empty()) {
      call.headers.emplace_back("Idempotency-Key", request.idempotency_key);
    }
  }
  // A batch request may wait in the engine's queue, and a plain call has no
  // first token. Their first byte is limited by the request's deadline only.
  bool may_queue = request.request_class == RequestClass::kBatch ||
                   request.request_class == RequestClass::kPlain;
  call.first_byte_timeout =
      may_queue ? remaining
                : std::min(remaining, m_context.settings->first_token_timeout);
  call.gap_timeout = m_context.settings->token_gap_timeout;
  call.verify_unframed = true;
  return call;
}

void RequestExecutor::On(const Dispatch& dispatch) {
  auto found = m_callers.find(dispatch.request);
  if (found == m_callers.end()) {
    LogEvent("dispatch_without_caller",
             {{"request", std::to_string(dispatch.request)}});
    AttemptEnded ended;
    ended.attempt = dispatch.attempt;
    ended.result = AttemptResult::kNotSent;
    m_context.feed(std::move(ended));
    return;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->id = dispatch.attempt;
  attempt->caller = found->second;
  attempt->caller->current = dispatch.attempt;
  attempt->wire_id =
      fmt::format("{}-{}", m_context.attempt_prefix, dispatch.attempt);
  attempt->group = dispatch.group;
  attempt->epoch = dispatch.epoch;
  attempt->address = dispatch.address;
  BackendHandlers handlers;
  handlers.token = [this, attempt](std::string_view data,
                                   std::uint64_t offset) {
    OnToken(attempt.get(), data, offset);
  };
  handlers.load = [this, attempt](const LoadReport& load) {
    LoadReported reported{load, milliseconds(0)};
    reported.load.group = attempt->group;
    reported.load.epoch = attempt->epoch;
    m_context.feed(reported);
  };
  handlers.server_leaving = [this, group = attempt->group] {
    return m_leaving_groups.count(group) > 0;
  };
  handlers.end = [this, attempt](BackendEnd end) {
    OnAttemptEnd(attempt, std::move(end));
  };
  m_attempts.emplace(attempt->id, attempt);
  attempt->call = m_context.backends->Start(
      MakeCall(dispatch, *attempt->caller, attempt->wire_id),
      std::move(handlers));
  if (attempt->caller->exchange && attempt->caller->read.streamed) {
    attempt->caller->exchange->SetDrainHandler(
        [call = std::weak_ptr<BackendAttempt>(attempt->call)] {
          if (auto running = call.lock()) running->Resume();
        });
  }
}

void RequestExecutor::On(const CancelAttempt& cancel) {
  auto found = m_attempts.find(cancel.attempt);
  if (found == m_attempts.end()) return;
  std::shared_ptr<Attempt> attempt = found->second;
  m_attempts.erase(found);
  attempt->call->Cancel();
  if (attempt->caller->current == attempt->id) attempt->caller->current = 0;
  if (attempt->caller->read.request.service.empty()) {
    m_context.backends->CancelRemote(attempt->address, attempt->wire_id);
  }
  LogEvent("attempt_cancelled",
           {{"request", std::to_string(attempt->caller->id)},
            {"attempt", attempt->wire_id},
            {"group", attempt->group}});
}

void RequestExecutor::OnToken(Attempt* attempt, std::string_view data,
                              std::uint64_t offset) {
  Caller* caller = attempt->caller.get();
  if (caller->current != attempt->id || offset != caller->delivered + 1) {
    m_context.metrics->Add("clementine_tokens_dropped_total", "");
    return;
  }
  RecordTokenLatency(caller);
  caller->delivered = offset;
  if (caller->read.streamed) {
    Relay(caller, attempt, data);
  } else if (caller->collected_bytes + data.size() <= kMaxCollectedBytes) {
    caller->collected_bytes += data.size();
    caller->events.emplace_back(data);
    attempt->call->Hold(caller->collected_bytes);
  }
  TimePoint now = caller->last_token;
  if (now - attempt->last_progress >= kProgressInterval) {
    attempt->last_progress = now;
    m_context.feed(AttemptProgress{attempt->id, offset});
  }
}

void RequestExecutor::RecordTokenLatency(Caller* caller) {
  TimePoint now = Clock::now();
  if (caller->delivered == 0) {
    Metrics::Observe(caller->first_token_time, Seconds(now - caller->arrived),
                     now);
  } else {
    Metrics::Observe(caller->token_gap, Seconds(now - caller->last_token), now);
  }
  caller->last_token = now;
}

void RequestExecutor::Relay(Caller* caller, Attempt* attempt,
                            std::string_view data) {
  if (!caller->exchange) return;
  StartStream(caller);
  m_event.assign("data: ");
  for (std::size_t end = data.find('\n'); end != std::string_view::npos;
       end = data.find('\n')) {
    m_event.append(data.substr(0, end)).append("\ndata: ");
    data.remove_prefix(end + 1);
  }
  m_event.append(data).append("\n\n");
  // The call is null while BackendClient::Start, which may call handlers, has
  // not returned.
  if (!caller->exchange->Write(m_event) && attempt->call) {
    attempt->call->Pause();
  }
}

void RequestExecutor::StartStream(Caller* caller) {
  if (caller->head_sent) return;
  caller->head_sent = true;
  // The outcome is unknown until the final event. A stream that breaks must not
  // have announced that it is complete.
  HttpHeaders headers = OutcomeHeaders(Outcome::kUnknown, kEventStream);
  headers.emplace_back("Cache-Control", "no-store");
  headers.emplace_back("X-Request-Id", std::to_string(caller->id));
  caller->exchange->StartStream(200, headers);
}

void RequestExecutor::OnAttemptEnd(const std::shared_ptr<Attempt>& attempt,
                                   BackendEnd end) {
  auto found = m_attempts.find(attempt->id);
  if (found == m_attempts.end()) return;
  m_attempts.erase(found);
  Caller* caller = attempt->caller.get();
  LogEvent("attempt_ended",
           {{"request", std::to_string(caller->id)},
            {"attempt", attempt->wire_id},
            {"group", attempt->group},
            {"result", AttemptResultName(end.result)},
            {"status", std::to_string(end.status)},
            {"offset", std::to_string(caller->delivered)},
            {"framing", AnswerFramingName(end.framing)},
            {"verified_by", EndEvidenceName(end.evidence)},
            {"verified_ms", std::to_string(end.verified_for.count())},
            {"detail", end.detail}});
  m_context.metrics->Add(
      "clementine_attempts_total",
      fmt::format("result=\"{}\"", AttemptResultName(end.result)));
  CountAnswer(end, m_context.metrics);
  ReportSuspect(*attempt, end);
  CancelOnEngine(*attempt, end);
  StoreAnswer(attempt.get(), &end);
  AttemptEnded ended;
  ended.attempt = attempt->id;
  ended.result = end.result;
  ended.offset = caller->delivered;
  ended.retry_after = end.retry_after;
  ended.status = caller->status;
  ended.body = caller->body;
  m_context.feed(std::move(ended));
}

void RequestExecutor::CancelOnEngine(const Attempt& attempt,
                                     const BackendEnd& end) {
  // The engine may still be running an attempt whose result is no longer
  // needed.
  bool abandoned = end.result == AttemptResult::kTimedOut ||
                   (end.result == AttemptResult::kBroken && !end.lost);
  if (abandoned && attempt.caller->read.request.service.empty()) {
    m_context.backends->CancelRemote(attempt.address, attempt.wire_id);
  }
}

void RequestExecutor::ReportSuspect(const Attempt& attempt,
                                    const BackendEnd& end) {
  if (!end.leaving && !end.lost) return;
  auto head = m_heads.find(attempt.group);
  if (head == m_heads.end()) return;
  m_context.feed_control(HostSuspected{head->second, end.leaving});
}

void RequestExecutor::StoreAnswer(Attempt* attempt, BackendEnd* end) {
  Caller* caller = attempt->caller.get();
  caller->answered_by = attempt->id;
  caller->status = end->status;
  caller->content_type = std::move(end->content_type);
  caller->body = std::move(end->body);
  bool chat = caller->read.request.service.empty();
  if (end->result != AttemptResult::kComplete || !chat ||
      caller->read.streamed) {
    return;
  }
  if (caller->collected_bytes > kMaxCollectedBytes ||
      caller->events.size() != caller->delivered) {
    end->result = AttemptResult::kError;
    caller->status = 502;
    caller->content_type = kJson;
    caller->body = ErrorJson("answer_too_large", "the answer is too large",
                             Outcome::kComplete);
    return;
  }
  try {
    caller->body = JoinChatEvents(caller->events);
    caller->content_type = kJson;
  } catch (const std::runtime_error& error) {
    LogEvent("chat_answer_invalid", {{"request", std::to_string(caller->id)},
                                     {"error", error.what()}});
    end->result = AttemptResult::kError;
    caller->status = 502;
    caller->content_type = kJson;
    caller->body = ErrorJson("invalid_answer", "the engine's answer is invalid",
                             Outcome::kComplete);
  }
}

// ---------------------------------------------------------------------------
// Final answers.

std::shared_ptr<RequestExecutor::Caller> RequestExecutor::TakeCaller(
    RequestId id) {
  auto found = m_callers.find(id);
  if (found == m_callers.end()) return nullptr;
  std::shared_ptr<Caller> caller = found->second;
  m_callers.erase(found);
  return caller;
}

void RequestExecutor::On(const Finish& finish) {
  std::shared_ptr<Caller> caller = TakeCaller(finish.request);
  if (!caller || !caller->exchange) return;
  bool has_answer = caller->answered_by == finish.attempt;
  bool streamed = caller->read.streamed && caller->status == 200 &&
                  caller->content_type.starts_with(kEventStream);
  if (caller->head_sent || streamed) {
    FinishStream(caller.get());
  } else if (has_answer && caller->status != 0) {
    caller->exchange->Answer(
        caller->status,
        OutcomeHeaders(Outcome::kComplete, caller->content_type.empty()
                                               ? kJson
                                               : caller->content_type),
        caller->body);
  } else {
    caller->status = 502;
    AnswerError(caller->exchange.get(), 502, "no_answer",
                "the backend server's answer is missing", Outcome::kUnknown,
                milliseconds(0));
  }
  LogAnswer(*caller, OutcomeName(Outcome::kComplete), caller->status);
}

void RequestExecutor::FinishStream(Caller* caller) {
  StartStream(caller);
  // If the last attempt's answer is not an event stream, the stream that has
  // begun ends with an error event.
  bool complete = caller->content_type.starts_with(kEventStream);
  if (complete) {
    caller->exchange->Write("data: [DONE]\n\n");
  } else {
    caller->exchange->Write(ErrorEvent(
        "attempt_failed", "the stream ended early", Outcome::kUnknown));
  }
  caller->exchange->EndStream();
}

void RequestExecutor::On(const Refuse& refuse) {
  std::shared_ptr<Caller> caller = TakeCaller(refuse.request);
  const char* reason = RefusalReasonName(refuse.reason);
  m_context.metrics->Add("clementine_refused_total",
                         fmt::format("reason=\"{}\",outcome=\"{}\"", reason,
                                     OutcomeName(refuse.outcome)));
  if (!caller || !caller->exchange) return;
  std::string message = RefusalMessage(refuse.reason);
  if (caller->head_sent) {
    caller->exchange->Write(ErrorEvent(reason, message, refuse.outcome));
    caller->exchange->EndStream();
  } else {
    AnswerError(caller->exchange.get(), refuse.status, reason, message,
                refuse.outcome, refuse.retry_after);
  }
  LogAnswer(*caller, OutcomeName(refuse.outcome), refuse.status);
}

void RequestExecutor::On(const Replay& replay) {
  std::shared_ptr<Caller> caller = TakeCaller(replay.request);
  if (!caller || !caller->exchange) return;
  HttpHeaders headers = OutcomeHeaders(Outcome::kComplete, kJson);
  headers.emplace_back("X-Clementine-Replayed", "true");
  caller->exchange->Answer(replay.status, headers, replay.body);
  LogAnswer(*caller, "replayed", replay.status);
}

void RequestExecutor::LogAnswer(const Caller& caller, const char* outcome,
                                int status) {
  const Request& request = caller.read.request;
  Clock::duration total = Clock::now() - caller.arrived;
  LogEvent("answer", {{"request", std::to_string(caller.id)},
                      {"organisation", request.organisation},
                      {"class", RequestClassName(request.request_class)},
                      {"path", request.path},
                      {"outcome", outcome},
                      {"status", std::to_string(status)},
                      {"tokens", std::to_string(caller.delivered)},
                      {"total_ms", Milliseconds(total)}});
  std::string label = ClassLabel(request.request_class);
  m_context.metrics->Add("clementine_answers_total",
                         fmt::format("{},outcome=\"{}\"", label, outcome));
  m_context.metrics->Add("clementine_tokens_total", label, caller.delivered);
}

// ---------------------------------------------------------------------------
// Platform calls, events for the control plane, logging.

std::function<void(ObjectReply)> RequestExecutor::ReplyHandler() {
  ++m_platform_calls;
  return [this, alive = m_alive](ObjectReply reply) {
    if (!*alive) return;
    --m_platform_calls;
    m_context.feed(std::move(reply));
  };
}

void RequestExecutor::On(const GetObject& get) {
  m_context.platform->Get(get, ReplyHandler());
}

void RequestExecutor::On(const PutObject& put) {
  m_context.platform->Put(put, ReplyHandler());
}

void RequestExecutor::On(const DeleteObject& del) {
  m_context.platform->Delete(del, ReplyHandler());
}

void RequestExecutor::On(const ShareQuarantine& share) {
  m_context.feed_control(QuarantineFound{share.digest, share.remaining});
}

void RequestExecutor::On(const LogDecision& log) {
  LogEvent(log.event, log.fields);
}

}  // namespace clementine
