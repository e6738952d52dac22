#include "platform/call.h"
#include "platform/object_codec.h"

#include <charconv>

namespace marjoramrail::internal {

/// Used when a refusal contains no retry time or an invalid one.
static constexpr duration DefaultRetryAfter = std::chrono::seconds(1);
static constexpr std::uint32_t MaxRetryAfterSeconds = 3600;

enum http_code {
  HttpOk = 200,
  HttpBadRequest = 400,
  HttpNotFound = 404,
  HttpConflict = 409,
  HttpTooLarge = 413,
  HttpTooManyRequests = 429,
  HttpUnavailable = 503,
};

std::string pathOf(const platform_call &Call) {
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Wait);
  switch (Call.Verb) {
  case call_verb::Watch:
    return "/v1/watch?since=" + std::to_string(Call.Since) +
           "&wait_ms=" + std::to_string(WaitMs.count());
  case call_verb::List:
    return "/v1/objects/" + Call.Key.Kind;
  default:
    return "/v1/objects/" + Call.Key.Kind + "/" + Call.Key.Name;
  }
}

std::string validationError(const platform_call &Call) {
  const std::string Rule = ": expected 1 to " + std::to_string(MaxKeyLength) +
                           " of letters, digits, \".\", \"_\", \":\" and \"-\"";
  if (Call.Verb == call_verb::Watch && Call.Key.Kind.empty())
    return "";
  if (!isKeyPart(Call.Key.Kind))
    return "kind" + Rule;
  const bool HasName =
      Call.Verb != call_verb::List && Call.Verb != call_verb::Watch;
  if (HasName && !isKeyPart(Call.Key.Name))
    return "name" + Rule;
  if (Call.changes() && !isWriter(Call.Writer))
    return "writer: expected 1 to " + std::to_string(MaxKeyLength) +
           " printable characters without spaces";
  if (Call.Body.size() > MaxObjectBytes)
    return "body: expected at most " + std::to_string(MaxObjectBytes) +
           " bytes";
  return "";
}

static duration retryAfterOf(const std::string &Field) {
  std::uint32_t Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Field.data(), Field.data() + Field.size(), Seconds);
  if (Error != std::errc() || Seconds > MaxRetryAfterSeconds)
    return DefaultRetryAfter;
  return std::chrono::seconds(Seconds);
}

static platform_reply malformedReply(const platform_call &Call) {
  return replyToFailure(Call, call_failure::NoAnswer,
                        "cannot decode the platform's response");
}

static platform_reply replyToOk(const platform_call &Call,
                                const http_answer &Answer) {
  platform_reply Reply;
  Reply.Outcome = platform_outcome::Ok;
  if (Call.Verb == call_verb::List || Call.Verb == call_verb::Watch)
    return decodeObjects(Answer.Body, Reply) ? Reply : malformedReply(Call);
  auto Object = decodeObject(Answer.Body);
  if (!Object)
    return malformedReply(Call);
  Reply.Object = std::move(*Object);
  return Reply;
}

static platform_reply replyToConflict(const platform_call &Call,
                                      const http_answer &Answer) {
  auto Object = decodeObject(Answer.Body);
  if (!Object)
    return malformedReply(Call);
  platform_reply Reply;
  Reply.Outcome = platform_outcome::Conflict;
  Reply.Object = std::move(*Object);
  Reply.Reason = Reply.Object.Version == 0
                     ? "no such object"
                     : "version " + std::to_string(Reply.Object.Version) +
                           " written by " + Reply.Object.Writer +
                           " is the current one";
  return Reply;
}

platform_reply replyTo(const platform_call &Call, const http_answer &Answer) {
  platform_reply Reply;
  Reply.Reason = decodeReason(Answer.Body);
  switch (Answer.Code) {
  case HttpOk:
    return replyToOk(Call, Answer);
  case HttpConflict:
    return replyToConflict(Call, Answer);
  case HttpNotFound:
    Reply.Outcome = platform_outcome::NotFound;
    return Reply;
  case HttpBadRequest:
  case HttpTooLarge:
    Reply.Outcome = platform_outcome::Invalid;
    return Reply;
  case HttpTooManyRequests:
  case HttpUnavailable:
    Reply.Outcome = platform_outcome::Unavailable;
    Reply.RetryAfter = retryAfterOf(Answer.RetryAfter);
    return Reply;
  default:
    return replyToFailure(Call, call_failure::NoAnswer,
                          "the platform responded with HTTP status " +
                              std::to_string(Answer.Code));
  }
}

platform_reply replyToFailure(const platform_call &Call, call_failure Failure,
                              const std::string &Reason) {
  const bool MayHaveChanged =
      Call.changes() && Failure == call_failure::NoAnswer;
  platform_reply Reply;
  Reply.Outcome = MayHaveChanged ? platform_outcome::Unknown
                                 : platform_outcome::Unavailable;
  Reply.Reason = Reason;
  Reply.RetryAfter = DefaultRetryAfter;
  return Reply;
}

static http_method methodOf(const platform_call &Call) {
  if (Call.Verb == call_verb::Write)
    return http_method::Put;
  if (Call.Verb == call_verb::Remove)
    return http_method::Delete;
  return http_method::Get;
}

static dialect_request requestOf(const platform_call &Call) {
  dialect_request Request{methodOf(Call), pathOf(Call), {}, Call.Body};
  if (Call.changes()) {
    Request.Fields = {{"If-Match", std::to_string(Call.Expected)},
                      {"Writer", Call.Writer},
                      {"Writer-Sequence", std::to_string(Call.WriterSequence)}};
  }
  return Request;
}

} // namespace marjoramrail::internal

namespace marjoramrail {

platform_dialect objectDialect() {
  return {internal::requestOf, internal::replyTo};
}

std::string encodeObjectList(const platform_reply &Reply) {
  return internal::encodeObjects(Reply);
}

bool decodeObjectList(std::string_view Text, platform_reply &Reply) {
  return internal::decodeObjects(Text, Reply);
}

} // namespace marjoramrail
