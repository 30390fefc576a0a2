#include <gtest/gtest.h>

#include "base/label.h"

static bool
matches (const char *text, std::initializer_list<const char *> pairs)
{
  br_selector_t selector;
  br_labels_t labels = {};
  br_error_t err;
  bool result;

  EXPECT_TRUE (br_selector_parse (br_str_from (text), &selector, &err))
      << err.text;
  for (auto it = pairs.begin (); it != pairs.end (); it += 2)
    br_labels_set (&labels, br_str_from (it[0]), br_str_from (it[1]));
  result = br_selector_matches (&selector, &labels);
  br_selector_release (&selector);
  br_labels_free (&labels);
  return result;
}

TEST (Selector, MatchesByEachOperator)
{
  EXPECT_TRUE (matches ("", {}));
  EXPECT_TRUE (matches ("a=1", { "a", "1", "b", "2" }));
  EXPECT_FALSE (matches ("a=1,b=3", { "a", "1", "b", "2" }));
  EXPECT_TRUE (matches ("a!=1", {}));
  EXPECT_FALSE (matches ("a!=1", { "a", "1" }));
  EXPECT_TRUE (matches ("a in (1, 2)", { "a", "2" }));
  EXPECT_FALSE (matches ("a in (1,2)", {}));
  EXPECT_TRUE (matches ("a notin (1,2)", { "a", "3" }));
  EXPECT_TRUE (matches ("exists a", { "a", "" }));
  EXPECT_FALSE (matches ("exists a", { "b", "1" }));
  EXPECT_TRUE (matches ("exists=1", { "exists", "1" }));
}

TEST (Selector, ErrorsContainThePosition)
{
  br_selector_t selector;
  br_error_t err;

  EXPECT_FALSE (br_selector_parse (br_str_from ("a in 1"), &selector, &err));
  EXPECT_STREQ (err.text, "character 6 of \"a in 1\": expected '('");
  EXPECT_FALSE (br_selector_parse (br_str_from ("a=1 b"), &selector, &err));
  EXPECT_STREQ (err.text, "character 5 of \"a=1 b\": expected ',' or the end");
  EXPECT_FALSE (br_selector_parse (br_str_from ("a=,"), &selector, &err));
}

TEST (Labels, ReplacesAndSorts)
{
  br_labels_t labels = {};

  br_labels_set (&labels, br_str_from ("b"), br_str_from ("1"));
  br_labels_set (&labels, br_str_from ("a"), br_str_from ("2"));
  br_labels_set (&labels, br_str_from ("b"), br_str_from ("3"));
  ASSERT_EQ (labels.len, 2u);
  EXPECT_STREQ (labels.items[0].key.data, "a");
  EXPECT_STREQ (br_labels_get (&labels, br_str_from ("b"))->data, "3");
  EXPECT_EQ (br_labels_get (&labels, br_str_from ("c")), nullptr);
  br_labels_free (&labels);
}
