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

// Forwards a request to a home of its group.
struct ForwardMessage {
  uint64_t number = 0;
  ClientRequest request;
};

// The answer to a ForwardMessage.
struct AnswerMessage {
  uint64_t number = 0;
  ClientAnswer answer;
};

// Announces the revision that the sender has in force. The receiver answers
// with its own HeartbeatMessage of the same number and `is_answer` set.
struct HeartbeatMessage {
  uint64_t number = 0;
  VmName sender;
  RevisionName revision;
  bool is_answer = false;
};

// Requests the arrangement that the receiver has in force.
struct FetchMessage {
  uint64_t number = 0;
};

// The answer to a FetchMessage: the text of the arrangement that the sender has
// in force and the entry VMs that it knows.
struct ArrangementMessage {
  uint64_t number = 0;
  RevisionName revision;
  std::string text;
  std::vector<Member> members;
};

using PeerMessage = std::variant<ForwardMessage,
                                 AnswerMessage,
                                 HeartbeatMessage,
                                 FetchMessage,
                                 ArrangementMessage>;

// Encodes and decodes messages between proxies as CBOR. The decoder fails with
// kInvalidInput if the message is malformed.
std::vector<uint8_t> EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> DecodePeerMessage(std::span<const uint8_t> bytes);

}  // namespace kingcupmill

#endif  // LIBPROXY_PEER_MESSAGE_H_
