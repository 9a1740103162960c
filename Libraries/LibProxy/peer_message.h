#ifndef LIBPROXY_PEER_MESSAGE_H_
#define LIBPROXY_PEER_MESSAGE_H_

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "LibConfiguration/revision_tracker.h"
#include "LibCore/error.h"
#include "LibCore/names.h"
#include "LibMembership/member.h"
#include "LibRequests/client_answer.h"
#include "LibRequests/client_request.h"

namespace kingcupmill {

// A request that is forwarded to a home of its group.
struct ForwardMessage {
  uint64_t number = 0;
  ClientRequest request;
};

// The answer to a ForwardMessage.
struct AnswerMessage {
  uint64_t number = 0;
  ClientAnswer answer;
};

// Asks whether the other end is alive and tells it the sender's revision; the
// other end answers with a message of the same number.
struct PulseMessage {
  uint64_t number = 0;
  VmName sender;
  RevisionName revision;
  bool is_answer = false;
};

// Asks for the arrangement that the other end has in force.
struct FetchMessage {
  uint64_t number = 0;
};

// The arrangement that the sender has in force, and the entry VMs it knows.
struct ArrangementMessage {
  uint64_t number = 0;
  RevisionName revision;
  std::string text;
  std::vector<Member> members;
};

using PeerMessage = std::variant<ForwardMessage,
                                 AnswerMessage,
                                 PulseMessage,
                                 FetchMessage,
                                 ArrangementMessage>;

// CBOR encoding of the messages between proxies. The decoder fails with
// kInvalidInput on anything malformed.
std::vector<uint8_t> EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(std::span<const uint8_t> bytes);

}  // namespace kingcupmill

#endif  // LIBPROXY_PEER_MESSAGE_H_
