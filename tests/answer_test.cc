#include <gtest/gtest.h>

#include "contract/answer.h"
#include "contract/contract_id.h"
#include "shell/engine_body.h"
#include "upstream/sse.h"

TEST (Answer, LateAndOverlappingPartsAreIgnored)
{
  br_answer_t answer = {};
  br_buf_t text = {};

  EXPECT_EQ (br_answer_add (&answer, 0, BR_ANSWER_TEXT, br_str_from ("a")),
             BR_ANSWER_ADDED);
  EXPECT_EQ (br_answer_add (&answer, 2, BR_ANSWER_TEXT, br_str_from ("c")),
             BR_ANSWER_GAP);
  EXPECT_EQ (br_answer_add (&answer, 1, BR_ANSWER_RAW, br_str_from ("{}")),
             BR_ANSWER_ADDED);
  EXPECT_EQ (br_answer_add (&answer, 0, BR_ANSWER_TEXT, br_str_from ("z")),
             BR_ANSWER_DUPLICATE);
  EXPECT_EQ (br_answer_add (&answer, 2, BR_ANSWER_TEXT, br_str_from ("c")),
             BR_ANSWER_ADDED);
  answer.complete = true;
  EXPECT_EQ (br_answer_add (&answer, 3, BR_ANSWER_TEXT, br_str_from ("d")),
             BR_ANSWER_DUPLICATE);
  br_answer_text (&answer, &text);
  EXPECT_STREQ (text.data, "ac");
  br_buf_free (&text);
  br_answer_free (&answer);
}

TEST (ContractId, PrintsAndParses)
{
  br_contract_id_t id = { br_name_from ("la-paloma.2"), 0x18f, 77 };
  br_contract_id_t got;
  br_buf_t text = {};

  br_contract_id_print (&id, &text);
  EXPECT_STREQ (text.data, "la-paloma.2.18f.4d");
  EXPECT_TRUE (br_contract_id_parse (br_buf_str (&text), &got));
  EXPECT_TRUE (br_contract_id_equal (&id, &got));
  EXPECT_FALSE (br_contract_id_parse (br_str_from ("a.b"), &got));
  EXPECT_FALSE (br_contract_id_parse (br_str_from ("a.1.g"), &got));
  EXPECT_FALSE (br_contract_id_parse (br_str_from (".1.1"), &got));
  br_buf_free (&text);
}

namespace
{

// Reads STREAM in two parts, cut after CUT bytes.  Returns the events, then "!"
// at an error and "?" at a line that belongs to no event.
std::string
ReadCut (const std::string &stream, size_t cut)
{
  br_sse_t sse = {};
  br_str_t data;
  std::string got;
  br_sse_result_t result = BR_SSE_MORE;

  for (auto part : { stream.substr (0, cut), stream.substr (cut) })
    {
      if (result != BR_SSE_MORE)
        break;
      EXPECT_TRUE (
          br_sse_feed (&sse, br_str_make (part.data (), part.size ())));
      while ((result = br_sse_next (&sse, &data)) == BR_SSE_EVENT)
        got += "[" + std::string (data.data, data.len) + "]";
    }
  br_sse_free (&sse);
  return got + (result == BR_SSE_ERROR ? "!" : result == BR_SSE_BAD ? "?" : "");
}

void
ExpectAtAnyCut (const std::string &stream, const std::string &expected)
{
  for (size_t cut = 0; cut <= stream.size (); cut++)
    EXPECT_EQ (ReadCut (stream, cut), expected) << stream << cut;
}

}

/* Splitting the stream at any byte gives the same events. */
TEST (Sse, AnySplitGivesTheSameEvents)
{
  ExpectAtAnyCut (": note\n\ndata: one\n\nevent: x\r\ndata: two\r\ndata: "
                  "more\r\n\r\nid: 3\nretry: 9\n\ndata: cut",
                  "[one][two\nmore]");
}

/* An error's text, or the head of another answer, ends the stream before the
 * events behind it. */
TEST (Sse, TextThatIsNoEventEndsTheStream)
{
  ExpectAtAnyCut ("data: one\n\nHTTP/1.1 200 OK\r\nContent-Type: "
                  "text/event-stream\r\n\r\ndata: two\n\n",
                  "[one]?");
  ExpectAtAnyCut ("data: one\n\n{\"error\":1}\ndata: two\n\n", "[one]?");
  ExpectAtAnyCut ("data: one\n{\"error\":1}\n\n", "?");
  ExpectAtAnyCut ("Data: one\n\n", "?");
}

TEST (Sse, AnErrorEventEndsTheStream)
{
  ExpectAtAnyCut ("data: one\n\nevent: error\ndata: {}\n\ndata: two\n\n",
                  "[one]!");
  ExpectAtAnyCut ("data: {}\nevent: error\n\ndata: two\n\n", "!");
  ExpectAtAnyCut ("event: errors\ndata: one\n\n", "[one]");
}

TEST (Sse, ContentType)
{
  EXPECT_TRUE (br_sse_is_content_type (br_str_from ("text/event-stream")));
  EXPECT_TRUE (br_sse_is_content_type (
      br_str_from ("Text/Event-Stream; charset=utf-8")));
  EXPECT_FALSE (br_sse_is_content_type (br_str_from ("text/event-streams")));
  EXPECT_FALSE (br_sse_is_content_type (br_str_from ("application/json")));
  EXPECT_FALSE (br_sse_is_content_type (br_str_from ("")));
}

/* An error in the middle of a stream must not become a part of the answer. */
TEST (EngineEvent, AnErrorIsNoPartOfTheAnswer)
{
  struct
  {
    const char *data;
    br_engine_event_t event;
  } cases[] = {
    { "{\"error\":{\"message\":\"overloaded\"}}", BR_ENGINE_EVENT_ERROR },
    { "{\"error\":\"overloaded\"}", BR_ENGINE_EVENT_ERROR },
    { "{\"object\":\"error\",\"code\":503}", BR_ENGINE_EVENT_ERROR },
    { "{\"choices\":[{\"text\":\"a\"}],\"error\":1}", BR_ENGINE_EVENT_ERROR },
    { "{\"choices\":[{\"text\":\"a\"}],\"error\":null}", BR_ENGINE_EVENT_PART },
    { "{\"choices\":[],\"usage\":{}}", BR_ENGINE_EVENT_PART },
    { "overloaded", BR_ENGINE_EVENT_BAD },
    { "\"overloaded\"", BR_ENGINE_EVENT_BAD },
  };

  for (const auto &each : cases)
    {
      br_answer_kind_t kind;
      br_buf_t text = {};

      EXPECT_EQ (br_engine_event_read (br_str_from (each.data), &kind, &text),
                 each.event)
          << each.data;
      EXPECT_EQ (text.len > 0, each.event == BR_ENGINE_EVENT_PART);
      br_buf_free (&text);
    }
}
