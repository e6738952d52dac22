#include "printing.h"

#include <map>

namespace marjoramrail::ctl {

namespace {

/// Reads the kinds of objects that the output shows, one after the other.
class status_run : public std::enable_shared_from_this<status_run> {
public:
  status_run(ctl_context &Context, std::string Only, finish Done)
      : Context(Context), Only(std::move(Only)), Done(std::move(Done)) {}

  void list(std::size_t Kind);

private:
  void print();
  void printServices();
  void printDrains();
  std::vector<std::string> serviceRow(const platform_object &Spec);

  ctl_context &Context;
  std::string Only;
  finish Done;
  std::map<std::string, std::map<std::string, platform_object>> Objects;
  std::vector<std::string> Conditions;
};

} // namespace

static const std::vector<std::string> Kinds = {
    "service", std::string(ServiceStatusKind), "drain",
    std::string(DrainStatusKind)};

void status_run::list(std::size_t Kind) {
  if (Kind == Kinds.size())
    return print();
  Context.Platform.List(Kinds[Kind], [Self = shared_from_this(),
                                      Kind](const platform_reply &Reply) {
    if (Reply.Outcome != platform_outcome::Ok)
      return Self->Done(printReplyFailure(Self->Context, step::ReadPlatform,
                                          {Kinds[Kind], "*"}, Reply));
    for (const platform_object &Object : Reply.Objects)
      Self->Objects[Kinds[Kind]][Object.Key.Name] = Object;
    Self->list(Kind + 1);
  });
}

static std::string lagText(const service_status &Status) {
  if (Status.AppliedOn >= Status.Nodes)
    return "-";
  std::string Text;
  for (const std::string &Name : Status.Lagging)
    Text += (Text.empty() ? "" : ",") + Name;
  const std::size_t Count = Status.Nodes - Status.AppliedOn;
  if (Count > Status.Lagging.size())
    Text += (Text.empty() ? "" : ",") + std::string("+") +
            std::to_string(Count - Status.Lagging.size());
  return Text;
}

/// Adds the row of a service; its conditions are printed below the table.
std::vector<std::string> status_run::serviceRow(const platform_object &Spec) {
  const std::string &Name = Spec.Key.Name;
  std::vector<std::string> Row = {Name, std::to_string(Spec.Version)};
  const auto &Statuses = Objects[std::string(ServiceStatusKind)];
  const auto Found = Statuses.find(Name);
  if (Found == Statuses.end()) {
    Row.insert(Row.end(), {"-", "not taken up yet", "-", "-", "-"});
    return Row;
  }
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Status, parseServiceStatus(Found->second.Body, Name));
    const bool Current = Status.AcceptedVersion >= Spec.Version;
    Row.insert(Row.end(), {std::to_string(Status.ViewVersion),
                           std::to_string(Status.AppliedOn) + "/" +
                               std::to_string(Status.Nodes) +
                               (Current ? "" : " (of an older version)"),
                           lagText(Status), std::to_string(Status.TargetsReady),
                           std::to_string(Status.TargetsDraining)});
    for (const condition &Condition : Status.Conditions)
      Conditions.push_back(
          Name + ": " + (Condition.Holds ? "" : "not ") + Condition.Type +
          " since " + wallText(Condition.SinceMs) +
          (Condition.Reason.empty() ? "" : ", ") + Condition.Reason);
    return {};
  });
  if (Failure)
    printFailure(Context, *Failure);
  return Row;
}

void status_run::printServices() {
  text_table Table({"SERVICE", "VERSION", "VIEW", "IN FORCE ON", "LAGGING",
                    "READY", "DRAINING"});
  for (const auto &[Name, Spec] : Objects["service"])
    if (Only.empty() || Only == Name)
      Table.add(serviceRow(Spec));
  for (const std::string &Line : Table.lines())
    Context.Out(Line);
  for (const std::string &Line : Conditions)
    Context.Out(Line);
}

void status_run::printDrains() {
  if (!Only.empty() || Objects["drain"].empty())
    return;
  text_table Table({"DRAIN", "FLOWS", "REQUESTS", "SAFE TO STOP", "SINCE"});
  const auto &Statuses = Objects[std::string(DrainStatusKind)];
  for (const auto &Drain : Objects["drain"]) {
    const std::string &Host = Drain.first;
    const auto Found = Statuses.find(Host);
    if (Found == Statuses.end()) {
      Table.add({Host, "-", "-", "not taken up yet", "-"});
      continue;
    }
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Status, parseDrainStatus(Found->second.Body, Host));
      Table.add({Host, std::to_string(Status.Flows),
                 std::to_string(Status.Requests),
                 Status.SafeToStop ? "yes" : "no", wallText(Status.SinceMs)});
      return {};
    });
    if (Failure)
      printFailure(Context, *Failure);
  }
  Context.Out("");
  for (const std::string &Line : Table.lines())
    Context.Out(Line);
}

void status_run::print() {
  if (!Only.empty() && Objects["service"].count(Only) == 0) {
    printFailure(Context, {step::ReadPlatform, "service/" + Only,
                           "there is no such service"});
    return Done(exit_code::Refused);
  }
  printServices();
  printDrains();
  Done(exit_code::Ok);
}

void runStatus(ctl_context &Context, const ctl_options &Options,
               const finish &Done) {
  if (Options.Arguments.size() > 1) {
    Context.Err("marjoramctl: status: expected [SERVICE]");
    return Done(exit_code::Usage);
  }
  std::make_shared<status_run>(
      Context, Options.Arguments.empty() ? "" : Options.Arguments[0], Done)
      ->list(0);
}

} // namespace marjoramrail::ctl
