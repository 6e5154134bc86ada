#include <criterion/criterion.h>

#include "pimentosail/net/answerrules.h"

using namespace pimentosail;

// Guards against a status that is taken for an interim or a final one although HTTP does not have it, or this system does not use it.
Test(answer_rules, status_lines_have_three_digits_of_a_known_class)
{
    for (const char *line : {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 599 Odd", "HTTP/1.1  404 Not Found"}) {
        cr_expect_eq(classifyStatusLine(line), StatusKind::Final, "%s", line);
    }
    for (const char *line : {"HTTP/1.1 100 Continue", "HTTP/1.1 102", "HTTP/1.1 103 Early Hints"}) {
        cr_expect_eq(classifyStatusLine(line), StatusKind::Interim, "%s", line);
    }
    for (const char *line : {"HTTP/1.1 000 Odd", "HTTP/1.1 0", "HTTP/1.1 20", "HTTP/1.1 99 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 104",
             "HTTP/1.1 199", "HTTP/1.1 600 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 +20", "HTTP/1.1 -20", "HTTP/1.1 2x0", "HTTP/1.1", "HTTP/1.1 ", "200 OK", "",
             "xHTTP/1.1 200 OK"}) {
        cr_expect_eq(classifyStatusLine(line), StatusKind::Invalid, "%s", line);
    }
}

// Guards against a part of an answer that counts as whole, and against a whole one that is lost.
Test(answer_rules, a_close_ends_an_answer_only_after_its_request)
{
    for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunked}) {
        cr_expect_eq(faultAtEnd({.framing = framing, .isFramingReached = true, .isRequestReceived = false, .isReset = true}), AnswerFault::None);
        cr_expect_eq(faultAtEnd({.framing = framing, .isFramingReached = false}), AnswerFault::Truncated);
    }
    cr_expect_eq(faultAtEnd({.framing = AnswerFraming::None, .isRequestReceived = false}), AnswerFault::None);
    cr_expect_eq(faultAtEnd({.framing = AnswerFraming::UntilClose}), AnswerFault::None);
    cr_expect_eq(faultAtEnd({.framing = AnswerFraming::UntilClose, .isRequestReceived = false}), AnswerFault::EndedBeforeRequest);
    cr_expect_eq(faultAtEnd({.framing = AnswerFraming::UntilClose, .isReset = true}), AnswerFault::Reset);
}
