#include <gtest/gtest.h>

#include "contract/answer.h"
#include "contract/contract_id.h"
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

/* Splitting the stream at any byte gives the same events. */
TEST (Sse, AnySplitGivesTheSameEvents)
{
  std::string stream = ": note\n\ndata: one\n\nevent: x\r\ndata: two\r\ndata: "
                       "more\r\n\r\ndata: cut";

  for (size_t cut = 0; cut <= stream.size (); cut++)
    {
      br_sse_t sse = {};
      br_str_t data;
      std::string got;

      for (auto part : { stream.substr (0, cut), stream.substr (cut) })
        {
          EXPECT_TRUE (
              br_sse_feed (&sse, br_str_make (part.data (), part.size ())));
          while (br_sse_next (&sse, &data))
            got += "[" + std::string (data.data, data.len) + "]";
        }
      EXPECT_EQ (got, "[one][two\nmore]") << cut;
      br_sse_free (&sse);
    }
}
