// marjoramctl: the operators' command-line tool.

#include "run_tool.h"

int main(int Argc, char **Argv) {
  return marjoramrail::ctl::runTool(Argc, Argv, marjoramrail::objectDialect());
}
