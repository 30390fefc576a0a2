#include <gtest/gtest.h>
#include <string>

#include "base/clock.h"
#include "base/deflate.h"
#include "base/error.h"
#include "base/hlc.h"
#include "base/json_split.h"
#include "base/random.h"
#include "base/str.h"
#include "base/vec.h"

BR_VEC (int_vec, int);

TEST (Str, ComparesByBytesThenLength)
{
  EXPECT_LT (br_str_compare (br_str_from ("a"), br_str_from ("ab")), 0);
  EXPECT_GT (br_str_compare (br_str_from ("b"), br_str_from ("ab")), 0);
  EXPECT_EQ (br_str_compare (br_str_from (""), br_str_from ("")), 0);
}

TEST (Str, ParsesWholeNumbersOnly)
{
  uint64_t value = 0;

  EXPECT_TRUE (br_str_to_u64 (br_str_from ("18446744073709551615"), &value));
  EXPECT_EQ (value, UINT64_MAX);
  EXPECT_FALSE (br_str_to_u64 (br_str_from ("18446744073709551616"), &value));
  EXPECT_FALSE (br_str_to_u64 (br_str_from ("1a"), &value));
  EXPECT_FALSE (br_str_to_u64 (br_str_from (""), &value));
}

TEST (Buf, GrowsAndConsumes)
{
  br_buf_t buf = {};

  for (int i = 0; i < 100; i++)
    br_buf_printf (&buf, "%02d", i);
  br_buf_consume (&buf, 190);
  EXPECT_STREQ (buf.data, "9596979899");
  br_buf_free (&buf);
}

TEST (Name, RefusesTooLongNames)
{
  br_name_t name;
  std::string longest (BR_NAME_MAX, 'x');
  std::string longer (BR_NAME_MAX + 1, 'x');

  EXPECT_TRUE (br_name_set (&name, br_str_from (longest.c_str ())));
  EXPECT_FALSE (br_name_set (&name, br_str_from (longer.c_str ())));
  EXPECT_EQ (name.len, 0);
}

TEST (Error, PrintsStepAndPeer)
{
  br_error_t err;
  br_buf_t out = {};

  EXPECT_FALSE (br_error_set (&err, BR_ERROR_PEER, "connect", "castillos-1",
                              "refused (%d)", 111));
  br_error_print (&err, &out);
  EXPECT_STREQ (out.data, "connect at castillos-1: refused (111)");
  br_buf_free (&out);
}

TEST (Hlc, NeverGoesBackwards)
{
  br_hlc_t hlc = {};
  br_hlc_t first = br_hlc_tick (&hlc, 100);
  br_hlc_t second = br_hlc_tick (&hlc, 50);
  br_hlc_t remote = { 200, 7 };
  br_hlc_t third = br_hlc_receive (&hlc, remote, 60);

  EXPECT_LT (br_hlc_compare (first, second), 0);
  EXPECT_LT (br_hlc_compare (remote, third), 0);
}

TEST (Random, SameSeedSameNumbers)
{
  br_random_t a, b;

  br_random_seed (&a, 42);
  br_random_seed (&b, 42);
  for (int i = 0; i < 100; i++)
    EXPECT_EQ (br_random_below (&a, 1000), br_random_below (&b, 1000));
}

TEST (Vec, KeepsItems)
{
  int_vec_t vec = {};

  for (int i = 0; i < 100; i++)
    int_vec_push (&vec, i);
  EXPECT_EQ (vec.len, 100u);
  EXPECT_EQ (vec.items[99], 99);
  int_vec_free (&vec);
}

TEST (Deflate, RoundTripsAndCompresses)
{
  br_buf_t text = {};
  br_buf_t packed = {};
  br_buf_t unpacked = {};
  br_error_t err;

  for (int i = 0; i < 1400; i++)
    br_buf_printf (&text, "{\"Name\": \"route-%d\", \"TimeoutMs\": 15000}", i);
  ASSERT_TRUE (br_deflate (br_buf_str (&text), &packed, &err));
  EXPECT_LT (packed.len * 4, text.len);
  ASSERT_TRUE (br_inflate (br_buf_str (&packed), text.len, &unpacked, &err));
  EXPECT_TRUE (br_str_equal (br_buf_str (&text), br_buf_str (&unpacked)));
  br_buf_free (&text);
  br_buf_free (&packed);
  br_buf_free (&unpacked);
}

TEST (Deflate, RefusesDamagedDataAndWrongLengths)
{
  br_str_t text = br_str_from ("one text, one text, one text, one text");
  br_buf_t packed = {};
  br_buf_t unpacked = {};
  br_error_t err;

  ASSERT_TRUE (br_deflate (text, &packed, &err));
  EXPECT_FALSE (
      br_inflate (br_buf_str (&packed), text.len - 1, &unpacked, &err));
  EXPECT_FALSE (
      br_inflate (br_buf_str (&packed), text.len + 1, &unpacked, &err));
  EXPECT_FALSE (br_inflate (br_str_make (packed.data, packed.len - 1), text.len,
                            &unpacked, &err));
  packed.data[4] = (char)(packed.data[4] ^ 0x55);
  EXPECT_FALSE (br_inflate (br_buf_str (&packed), text.len, &unpacked, &err));
  EXPECT_EQ (unpacked.len, 0u);
  EXPECT_STREQ (err.step, "decompress");
  br_buf_free (&packed);
  br_buf_free (&unpacked);
}

static std::string
split (const std::string &text)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t value;
  std::string out;

  if (!br_json_split_begin (&split, br_str_make (text.data (), text.size ())))
    return "no container";
  while (br_json_split_next (&split, &key, &value))
    {
      if (key.len > 0)
        out += std::string (key.data, key.len) + "=";
      out += std::string (value.data, value.len) + ";";
    }
  return out + (split.unclosed ? "unclosed" : "");
}

TEST (JsonSplit, MembersAreSplitAtTheirOwnLevelOnly)
{
  EXPECT_EQ (split ("[]"), "");
  EXPECT_EQ (split (" [ 1 , [2,{\"a\":[3,4]}] ,\t{\"b\":\",]}\\\",\"}\r\n] "),
             "1;[2,{\"a\":[3,4]}];{\"b\":\",]}\\\",\"};");
  EXPECT_EQ (split ("{\"a\" : [1,2], \"b\":{\"c\":{}},\"\":null}"),
             "a=[1,2];b={\"c\":{}};null;");
  for (const char *each : { "", " ", "[", "]", "[}", "7", "null", "\"[]\"" })
    EXPECT_EQ (split (each), "no container") << each;
}

TEST (JsonSplit, AMemberThatIsNoJsonLeavesTheOthers)
{
  EXPECT_EQ (split ("[tru,,'x' y,{\"a\":[},{\"a\":]}},7]"),
             "tru;;'x' y;{\"a\":[};{\"a\":]}};7;");
  EXPECT_EQ (split ("{\"a\":[{[},}},{]},7],\"b\":8}"), "a=[{[},}},{]},7];b=8;");
  EXPECT_EQ (split ("[7,]"), "7;;");
  EXPECT_EQ (split ("{7,\"a\",\"b\":,c:1,\"d\":2}"), "7;\"a\";b=;c:1;d=2;");
  EXPECT_EQ (split (std::string ("[\0,\xff\xfe,7]", 8)),
             std::string ("\0;\xff\xfe;7;", 7));
}

TEST (JsonSplit, AMemberWithoutAnEndIsReported)
{
  EXPECT_EQ (split ("[1,{\"a\":{},2]"), "1;{\"a\":{},2;unclosed");
  EXPECT_EQ (split ("[1,[2,3]"), "1;[2,3;unclosed");
  EXPECT_EQ (split ("[\"a,2]"), "\"a,2;unclosed");
  EXPECT_EQ (split ("[\"a\\\",2]"), "\"a\\\",2;unclosed");
  EXPECT_EQ (split ("[\"\\]"), "\"\\;unclosed");
  EXPECT_EQ (split ("{\"a]}"), "\"a];unclosed");
}

TEST (JsonSplit, DepthDoesNotMatter)
{
  const size_t depth = 1000000;
  std::string deep = std::string (depth, '[') + std::string (depth, ']');

  EXPECT_EQ (split ("[" + deep + ",7]"), deep + ";7;");
  EXPECT_EQ (split ("{\"a\":" + deep + ",\"b\":7}"), "a=" + deep + ";b=7;");
}

TEST (JsonSplit, AMemberWithoutAnEndIsCutBeforeTheNextObject)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t value;

  ASSERT_TRUE (br_json_split_begin (
      &split, br_str_from ("[{\"a\":{,[1,2] , {\"b\":1},7]")));
  ASSERT_TRUE (br_json_split_next (&split, &key, &value));
  EXPECT_TRUE (split.unclosed);
  ASSERT_TRUE (br_json_split_cut (&split, &value));
  EXPECT_EQ (std::string (value.data, value.len), "{\"a\":{,[1,2] ");
  ASSERT_TRUE (br_json_split_next (&split, &key, &value));
  EXPECT_EQ (std::string (value.data, value.len), "{\"b\":1}");
  ASSERT_TRUE (br_json_split_next (&split, &key, &value));
  EXPECT_EQ (std::string (value.data, value.len), "7");
  EXPECT_FALSE (br_json_split_cut (&split, &value));
  EXPECT_FALSE (br_json_split_next (&split, &key, &value));
}

TEST (JsonSplit, GoesOnWithTheMembersOfAnObject)
{
  br_json_split_t split;
  br_str_t key;
  br_str_t value;

  br_json_split_resume (&split, br_str_from (" \"a\" : [1] "));
  ASSERT_TRUE (br_json_split_next (&split, &key, &value));
  EXPECT_EQ (std::string (key.data, key.len), "a");
  EXPECT_EQ (std::string (value.data, value.len), "[1]");
  EXPECT_FALSE (br_json_split_next (&split, &key, &value));
  br_json_split_resume (&split, br_str_from (" "));
  EXPECT_FALSE (br_json_split_next (&split, &key, &value));
}
