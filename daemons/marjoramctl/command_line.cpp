#include "command_line.h"

#include <algorithm>
#include <gflags/gflags.h>

DEFINE_string(platform, "",
              "Addresses of the platform, ADDRESS:PORT,...; default: the "
              "environment's MARJORAM_PLATFORM.");
DEFINE_uint32(timeout_ms, 5000, "How long one call of the platform may take.");
DEFINE_uint32(retry_seconds, 0,
              "How long to try again while the platform is unavailable.");
DEFINE_uint64(if_version, 0, "Write only if this version stands; 0 creates.");
DEFINE_uint64(since, 0, "The version of the store to watch from.");
DEFINE_uint32(for_seconds, 0, "How long to go on; 0 is without bound.");
DEFINE_string(reason, "", "Why the host is drained, for the colleagues.");
DEFINE_bool(wait, false, "Wait until the VM can be stopped.");
DEFINE_bool(undo, false, "Take the drain back.");
DEFINE_string(from, "", "Status addresses of processes, ADDRESS:PORT,...");
DEFINE_string(service, "", "Only this service.");
DEFINE_string(flow, "", "Only events of this flow, CALLER>SERVICE.");
DEFINE_string(host, "", "Only events of or about this host.");
DEFINE_string(explain, "", "Tell the life of this flow, CALLER>SERVICE.");
DEFINE_string(request, "", "Tell the life of the flow of this request's id.");
DEFINE_bool(json, false, "Print one line of JSON instead of tables.");
DEFINE_bool(watch, false, "Repeat every second until interrupted.");
DEFINE_uint32(
    limit, 20,
    "Maximum number of targets in the table; others are only counted.");

namespace marjoramrail::ctl {

static const std::vector<std::string_view> CommonFlags = {
    "platform", "timeout_ms", "retry_seconds"};

static boost::leaf::error_id usage(const std::string &Verb,
                                   const std::string &Reason) {
  return fail(step::ParseSettings, "command line",
              Reason + "; see marjoramctl " + (Verb.empty() ? "" : Verb + " ") +
                  "--help");
}

static bool takes(const verb_entry &Verb, const std::string &Flag) {
  const auto Has = [&](const std::vector<std::string_view> &Names) {
    return std::find(Names.begin(), Names.end(), Flag) != Names.end();
  };
  return Has(CommonFlags) || Has(Verb.Flags);
}

static std::string flagHelp(const std::vector<std::string_view> &Names) {
  std::string Text;
  for (const std::string_view Name : Names) {
    gflags::CommandLineFlagInfo Info;
    gflags::GetCommandLineFlagInfo(std::string(Name).c_str(), &Info);
    std::string Line = "  --" + Info.name;
    Line.resize(std::max<std::size_t>(Line.size() + 2, 18), ' ');
    Text += Line + Info.description + "\n";
  }
  return Text;
}

/// Sets one flag from "--NAME=VALUE", "--NAME" or "--NAME VALUE"; \p Next is
/// the word after it and is cleared if it was used as the value.
static result<void> setFlag(const verb_entry &Verb, const std::string &Word,
                            std::optional<std::string> &Next) {
  const std::string Body = Word.substr(Word.find_first_not_of('-'));
  const auto Equals = Body.find('=');
  std::string Name = Body.substr(0, Equals);
  std::replace(Name.begin(), Name.end(), '-', '_');
  const std::string VerbName(Verb.Name);
  if (!takes(Verb, Name))
    return usage(VerbName, VerbName + " takes no flag " + Word);
  gflags::CommandLineFlagInfo Info;
  gflags::GetCommandLineFlagInfo(Name.c_str(), &Info);
  std::string Value;
  if (Equals != std::string::npos)
    Value = Body.substr(Equals + 1);
  else if (Info.type == "bool")
    Value = "true";
  else if (Next)
    Value = *std::exchange(Next, std::nullopt);
  else
    return usage(VerbName, "--" + Name + " needs a value");
  if (gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
    return usage(VerbName,
                 "\"" + Value + "\" is no " + Info.type + " for --" + Name);
  return {};
}

static result<std::vector<endpoint>> addressList(const std::string &Text) {
  std::vector<endpoint> Addresses;
  for (std::size_t Start = 0; Start < Text.size();) {
    const std::size_t End = std::min(Text.find(',', Start), Text.size());
    BOOST_LEAF_AUTO(Address, parseEndpoint(std::string_view(Text).substr(
                                 Start, End - Start)));
    Addresses.push_back(Address);
    Start = End + 1;
  }
  return Addresses;
}

static bool given(const char *Flag) {
  gflags::CommandLineFlagInfo Info;
  return gflags::GetCommandLineFlagInfo(Flag, &Info) && !Info.is_default;
}

static result<void> readFlags(command &Command) {
  ctl_options &Options = Command.Options;
  if (given("if_version"))
    Options.IfVersion = FLAGS_if_version;
  if (given("since"))
    Options.Since = FLAGS_since;
  Options.For = std::chrono::seconds(FLAGS_for_seconds);
  Options.Reason = FLAGS_reason;
  Options.Wait = FLAGS_wait;
  Options.Undo = FLAGS_undo;
  Options.Service = FLAGS_service;
  Options.Flow = FLAGS_flow;
  Options.Host = FLAGS_host;
  Options.Explain = FLAGS_explain;
  Options.Request = FLAGS_request;
  Options.Json = FLAGS_json;
  Options.Watch = FLAGS_watch;
  Options.Limit = FLAGS_limit;
  Command.Retry = std::chrono::seconds(FLAGS_retry_seconds);
  Command.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  const char *Environment = std::getenv("MARJORAM_PLATFORM");
  const std::string Platform = !FLAGS_platform.empty() ? FLAGS_platform
                               : Environment           ? Environment
                                                       : "";
  BOOST_LEAF_AUTO(Servers, addressList(Platform));
  BOOST_LEAF_AUTO(From, addressList(FLAGS_from));
  Command.Platform = Servers;
  Options.From = From;
  return {};
}

static bool isFlag(const std::string &Word) {
  return Word.rfind("--", 0) == 0 &&
         Word.find_first_not_of('-') != std::string::npos;
}

/// Sets the flag at \p Words[At] and returns the position after it.
static result<std::size_t> readFlag(const verb_entry &Verb,
                                    const std::vector<std::string> &Words,
                                    std::size_t At) {
  std::optional<std::string> Next;
  if (At + 1 < Words.size())
    Next = Words[At + 1];
  const bool HadNext = Next.has_value();
  if (auto Set = setFlag(Verb, Words[At], Next); !Set)
    return Set.error();
  return At + (HadNext && !Next ? 2 : 1);
}

static std::string fullHelp(const verb_entry &Verb) {
  return helpOf(Verb) + "Flags:\n" + flagHelp(Verb.Flags) +
         flagHelp(CommonFlags);
}

/// The common flags may also be given before the verb.
result<command> readCommand(const std::vector<std::string> &Words) {
  static const verb_entry BeforeVerb{"marjoramctl", "", "", "", {}, nullptr};
  command Command;
  std::size_t At = 0;
  while (At < Words.size() && isFlag(Words[At]) && Words[At] != "--help") {
    BOOST_LEAF_ASSIGN(At, readFlag(BeforeVerb, Words, At));
  }
  if (At == Words.size())
    return usage("", "expected a verb");
  if (Words[At] == "--help" || Words[At] == "help") {
    Command.Help = generalHelp();
    return Command;
  }
  Command.Verb = findVerb(Words[At]);
  if (!Command.Verb)
    return usage("", "there is no verb " + Words[At]);
  ++At;
  while (At < Words.size()) {
    if (Words[At] == "--help") {
      Command.Help = fullHelp(*Command.Verb);
      return Command;
    }
    if (!isFlag(Words[At])) {
      Command.Options.Arguments.push_back(Words[At++]);
      continue;
    }
    BOOST_LEAF_ASSIGN(At, readFlag(*Command.Verb, Words, At));
  }
  if (auto Read = readFlags(Command); !Read)
    return Read.error();
  return Command;
}

} // namespace marjoramrail::ctl
