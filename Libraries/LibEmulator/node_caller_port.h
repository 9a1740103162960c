#ifndef LIBEMULATOR_NODE_CALLER_PORT_H_
#define LIBEMULATOR_NODE_CALLER_PORT_H_

#include <utility>

#include "LibEmulator/caller_port.h"
#include "LibEmulator/emulated_node.h"

namespace kingcupmill {

// A caller's session at an emulated proxy.
class NodeCallerPort final : public CallerPort {
 public:
  NodeCallerPort(EmulatedNode& node, EmulatedNode::SessionNumber number)
      : node(node), number(number) {}

  ~NodeCallerPort() override { this->node.CloseSession(this->number); }

  void Send(CallerStatement statement) override {
    this->node.SendTo(this->number, std::move(statement));
  }

  bool is_open() const override { return this->node.has_session(this->number); }

 private:
  EmulatedNode& node;
  EmulatedNode::SessionNumber number;
};

}  // namespace kingcupmill

#endif  // LIBEMULATOR_NODE_CALLER_PORT_H_
