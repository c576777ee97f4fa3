// Generates malformed input by mutating well-formed texts.
#ifndef SUPPORT_MUTATED_TEXT_H_
#define SUPPORT_MUTATED_TEXT_H_

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace chestnutport::test {

// Generates a text of `corpus` with one to four mutations: a byte overwritten,
// a part removed, repeated or truncated, or a part of another text inserted.
inline rc::Gen<std::string> MutatedText(std::vector<std::string> corpus) {
  return rc::gen::exec([corpus = std::move(corpus)] {
    std::string text = *rc::gen::elementOf(corpus);
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      const size_t at = *rc::gen::inRange<size_t>(0, text.size() + 1);
      const size_t length = *rc::gen::inRange<size_t>(0, 40);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
          if (at < text.size())
            text[at] = *rc::gen::arbitrary<char>();
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, text.substr(at, length));
          break;
        case 3:
          text.resize(at);
          break;
        default: {
          const std::string other = *rc::gen::elementOf(corpus);
          const size_t from = *rc::gen::inRange<size_t>(0, other.size() + 1);
          text.insert(at, other.substr(from, length));
        }
      }
    }
    return text;
  });
}

}  // namespace chestnutport::test

#endif  // SUPPORT_MUTATED_TEXT_H_
