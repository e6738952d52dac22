#include "command_line.h"

namespace marjoramrail::ctl {

static const char *const Codes =
    "Exit codes: 0 done, 1 refused or not there, 2 usage, 3 conflict,\n"
    "4 platform unavailable, 5 outcome unknown.\n";

const std::vector<verb_entry> &verbs() {
  static const std::vector<verb_entry> Table = {
      {"apply",
       "write the objects of files",
       "FILE...",
       "Reads all files and checks them, also against the stored objects, "
       "before\n"
       "anything is written. Each object is written only if its version is "
       "still\n"
       "the one read. A colleague's change in between is shown as a conflict\n"
       "and is not overwritten. Unchanged objects are not written. If an "
       "answer\n"
       "is lost, the object is read back and the outcome is printed.\n",
       {"if_version"},
       runApply},
      {"get",
       "print one object",
       "KIND NAME",
       "Prints an object with its version and writer, in the form that apply\n"
       "reads. Kinds: service, zone, drain, service-status, drain-status.\n",
       {},
       runGet},
      {"list",
       "list the objects of a kind",
       "KIND",
       "Prints name, version and writer of each object.\n",
       {},
       runList},
      {"watch",
       "print changes as they come",
       "[KIND [NAME]]",
       "Prints one line of JSON for each change, from --since on. Continues "
       "after\n"
       "outages of the platform; ends on a signal or after --for_seconds.\n",
       {"since", "for_seconds"},
       runWatch},
      {"delete",
       "delete an object",
       "KIND NAME",
       "Deletes a service, zone or drain if the version read, or "
       "--if-version,\n"
       "is still the stored one.\n",
       {"if_version"},
       runDelete},
      {"drain",
       "empty a target host or a balancer",
       "HOST",
       "Writes a drain object for the host and shows its progress. With "
       "--wait\n"
       "it ends with code 0 when the VM can be stopped without cutting off a\n"
       "flow or a request, and with 1 if --for_seconds elapse first.\n"
       "--undo deletes the drain.\n",
       {"reason", "wait", "undo", "for_seconds", "if_version"},
       runDrain},
      {"evacuate",
       "let no new flow go to a zone",
       "ZONE",
       "Writes the entry that evacuates the zone and shows how far it has "
       "come.\n"
       "Open flows stay until their owners end them. With --wait it ends with\n"
       "code 0 when all balancers and all agents of the zone obey, and with 1\n"
       "if --for_seconds elapse first. --undo ends the evacuation.\n",
       {"reason", "wait", "undo", "for_seconds"},
       runEvacuate},
      {"evacuations",
       "show evacuated zones and how far they have come",
       "",
       "Prints for each evacuated zone which balancers and agents obey, how "
       "many\n"
       "flows are still open there, and for how long it has lasted.\n",
       {},
       runEvacuations},
      {"status",
       "show what is in force, and where not",
       "[SERVICE]",
       "Prints each service's version, on how many nodes it is in force, "
       "which\n"
       "lag, its targets and conditions, and the drains.\n",
       {},
       runStatus},
      {"load",
       "show free slots, waiting requests and what is rejected",
       "",
       "Merges the /status pages of the forwarding balancers at --from: a line "
       "for\n"
       "each service and zone, and the fullest targets first. Of each target, "
       "the\n"
       "newest report counts; reports older than 2 s are marked stale, and\n"
       "their free slots do not count. Give one balancer of each zone or all "
       "of\n"
       "them. --watch repeats every second until interrupted or until\n"
       "--for_seconds elapse. --json prints one line with all targets.\n"
       "A page that cannot be read is named; the exit code is then 4.\n",
       {"from", "service", "json", "watch", "limit", "for_seconds"},
       runLoad},
      {"timeline",
       "merge the events of all processes",
       "[FILE...]",
       "Reads events from files of JSON lines and from the status pages of "
       "the\n"
       "processes at --from, orders causes before effects and prints those "
       "that\n"
       "match --service, --flow and --host. --explain=FLOW explains one flow: "
       "who\n"
       "routed it, when and why. --request=ID explains the flow that carried\n"
       "the request with this id.\n",
       {"from", "service", "flow", "host", "explain", "request"},
       runTimeline},
      {"validate",
       "check files of objects",
       "FILE...",
       "Checks files without the platform: file, field, reason, range "
       "allowed.\n",
       {},
       runValidate},
  };
  return Table;
}

const verb_entry *findVerb(std::string_view Name) {
  for (const verb_entry &Verb : verbs())
    if (Verb.Name == Name)
      return &Verb;
  return nullptr;
}

std::string generalHelp() {
  std::string Text = "marjoramctl VERB [ARGUMENTS] [FLAGS]\n\n";
  for (const verb_entry &Verb : verbs()) {
    std::string Line = "  " + std::string(Verb.Name);
    Line.resize(14, ' ');
    Text += Line + std::string(Verb.Summary) + "\n";
  }
  return Text + "\nmarjoramctl VERB --help tells more.\n" + Codes;
}

std::string helpOf(const verb_entry &Verb) {
  return "marjoramctl " + std::string(Verb.Name) + " " +
         std::string(Verb.Arguments) + "\n\n" + std::string(Verb.Help) + "\n";
}

} // namespace marjoramrail::ctl
