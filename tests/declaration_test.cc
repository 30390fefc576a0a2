#include <gtest/gtest.h>

#include <string>

#include "base/random.h"
#include "route/catalog.h"
#include "route/catalog_match.h"
#include "state/declaration_text.h"

namespace
{

std::string
parse_error (const std::string &text)
{
  br_declaration_texts_t texts;
  br_error_t err = {};

  if (br_declaration_texts_parse (br_str_make (text.data (), text.size ()),
                                  &texts, &err))
    br_declaration_texts_release (&texts);
  return err.text;
}

TEST (DeclarationText, KeepsLinesAndOmitsComments)
{
  const char *text = "// of Rocha\n[\n  {\"kind\": \"service\", /* x */ \"n\": "
                     "[1, -2.50e3, \"a\\u00e9\"]},\n{\"o\": {\"p\": null}}]";
  br_declaration_texts_t texts;
  br_error_t err;

  ASSERT_TRUE (br_declaration_texts_parse (br_str_from (text), &texts, &err))
      << err.text;
  ASSERT_EQ (texts.len, 2u);
  EXPECT_EQ (texts.items[0].line, 3);
  EXPECT_STREQ (texts.items[0].json.data,
                "{\"kind\":\"service\",\"n\":[1,-2.50e3,\"a\xc3\xa9\"]}");
  EXPECT_EQ (texts.items[1].line, 4);
  EXPECT_STREQ (texts.items[1].json.data, "{\"o\":{\"p\":null}}");
  br_declaration_texts_release (&texts);
}

TEST (DeclarationText, ErrorsNameTheLine)
{
  EXPECT_EQ (parse_error ("[{\"a\": 1,\n\"b\": {\"c\": 1, \"c\": 2}}]"),
             "line 2: c: is given twice");
  EXPECT_EQ (parse_error ("[{}, 7]"),
             "line 1: expected a declaration (a JSON object)");
  EXPECT_EQ (parse_error ("[[{}]]"),
             "line 1: expected a declaration (a JSON object)");
  EXPECT_EQ (parse_error ("[{\"a\":[[[[[[[[[1]]]]]]]]]}]"),
             "line 1: nested too deep");
  EXPECT_EQ (parse_error ("[{\"a\": 1}\n").substr (0, 7), "line 2:");
  EXPECT_EQ (parse_error ("[{\"a\":\n,}]").substr (0, 7), "line 2:");
  EXPECT_NE (parse_error (""), "");
}

TEST (DeclarationText, SurvivesMutatedText)
{
  const std::string good
      = "[{\"kind\":\"service\",\"name\":\"a\",\"labels\":{\"x\":\"y\"}},"
        "// c\n{\"n\":[1,2,true]}]";

  for (uint64_t seed = 1; seed <= 5000; seed++)
    {
      std::string mutated = good;
      br_random_t random;

      br_random_seed (&random, seed);
      for (int i = 0; i < 3; i++)
        mutated[br_random_below (&random, mutated.size ())]
            = (char)br_random_below (&random, 256);
      parse_error (mutated);
    }
}

bool
add (br_catalog_t *catalog, const char *json, std::string *text)
{
  br_error_t err = {};
  bool ok = br_catalog_add (catalog, br_str_from (json), &err);

  *text = err.text;
  return ok;
}

TEST (Catalog, NonRepeatableWorkRequiresAPlainService)
{
  br_catalog_t catalog = {};
  std::string text;

  EXPECT_FALSE (add (&catalog,
                     "{\"kind\":\"service\",\"name\":\"m\","
                     "\"selector\":\"a=b\",\"repeatable\":false}",
                     &text));
  EXPECT_EQ (text,
             "service/m: repeatable: false requires \"answers\": \"plain\"");
  EXPECT_FALSE (add (&catalog,
                     "{\"kind\":\"service\",\"name\":\"m\","
                     "\"selector\":\"a=b\",\"retention_s\":5}",
                     &text));
  EXPECT_EQ (text, "service/m: retention_s: 5 is out of range 60 to 2592000");
  br_catalog_release (&catalog);
}

TEST (Catalog, OverlappingPlacementsOfOneServiceConflict)
{
  br_catalog_t catalog = {};
  br_match_upstreams_t upstreams = {};
  std::string text;
  br_error_t err;

  ASSERT_TRUE (add (&catalog,
                    "{\"kind\":\"placement\",\"name\":\"p\",\"service\":\"s\","
                    "\"selector\":\"class=a\",\"maximum\":2}",
                    &text));
  ASSERT_TRUE (add (&catalog,
                    "{\"kind\":\"placement\",\"name\":\"q\",\"service\":\"s\","
                    "\"selector\":\"class=b\",\"maximum\":2}",
                    &text));
  EXPECT_TRUE (br_catalog_check_conflicts (&catalog, &upstreams, &err));
  ASSERT_TRUE (add (&catalog,
                    "{\"kind\":\"placement\",\"name\":\"r\",\"service\":\"s\","
                    "\"selector\":\"class=b\",\"maximum\":1}",
                    &text));
  EXPECT_FALSE (br_catalog_check_conflicts (&catalog, &upstreams, &err));
  EXPECT_STREQ (err.text, "placement/q and placement/r clash over s");
  br_catalog_release (&catalog);
}

} // namespace
