#ifndef LIBOPERATOR_FORWARD_H_
#define LIBOPERATOR_FORWARD_H_

namespace kingcupmill {

class OperatorCommands;
struct CommandOutput;

}  // namespace kingcupmill

#endif  // LIBOPERATOR_FORWARD_H_
