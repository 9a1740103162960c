#ifndef LIBPEER_SCRIPTED_PEER_LINKS_H_
#define LIBPEER_SCRIPTED_PEER_LINKS_H_

#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "LibPeer/peer_links.h"

namespace kingcupmill {

// PeerLinks whose questions a test answers.
class ScriptedPeerLinks final : public PeerLinks {
 public:
  struct Question {
    std::string address;
    PeerQuery query;
    Duration timeout;
    DidAnswer did_answer;
  };

  void Ask(const std::string& address,
           const PeerQuery& query,
           Duration timeout,
           DidAnswer did_answer) override {
    this->questions.push_back(
        Question{address, query, timeout, std::move(did_answer)});
  }

  // Answers the oldest question.
  void Answer(std::optional<PeerAnswer> answer) {
    const Question question = this->TakeOldest();
    question.did_answer(std::move(answer));
  }

  // Takes the oldest question, which is answered later or never.
  Question TakeOldest() {
    Question question = std::move(this->questions.front());
    this->questions.pop_front();
    return question;
  }

  // The oldest question, which must be a `Query`.
  template <typename Query>
  const Query& Oldest() const {
    return std::get<Query>(this->questions.front().query);
  }

  std::deque<Question> questions;
};

}  // namespace kingcupmill

#endif  // LIBPEER_SCRIPTED_PEER_LINKS_H_
