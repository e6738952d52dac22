// marjoramctl: the operators' tool.

#include "run_tool.h"

int main(int Argc, char **Argv) {
  return marjoramrail::ctl::runTool(Argc, Argv, marjoramrail::objectDialect());
}
