#include "marjoramrail/base.h"

namespace marjoramrail {

static constexpr name_table<step, 15> StepNames = {{
    {step::ParseAddress, "parse-address"},
    {step::ParseSettings, "parse-settings"},
    {step::ValidateObject, "validate-object"},
    {step::OpenSocket, "open-socket"},
    {step::Connect, "connect"},
    {step::Send, "send"},
    {step::Receive, "receive"},
    {step::DecodePacket, "decode-packet"},
    {step::DecodeMessage, "decode-message"},
    {step::ReadPlatform, "read-platform"},
    {step::WritePlatform, "write-platform"},
    {step::WatchPlatform, "watch-platform"},
    {step::AcquireLease, "acquire-lease"},
    {step::Relay, "relay"},
    {step::RunRequest, "run-request"},
}};

boost::leaf::error_id fail(step Step, std::string Peer, std::string Reason) {
  return boost::leaf::new_error(
      failure{Step, std::move(Peer), std::move(Reason)});
}

std::string toText(const failure &Failure) {
  std::string Text(nameOf(StepNames, Failure.Step));
  if (!Failure.Peer.empty())
    Text += " " + Failure.Peer;
  return Text + ": " + Failure.Reason;
}

} // namespace marjoramrail
