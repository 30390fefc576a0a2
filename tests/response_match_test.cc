// Tests which responses on a connection are taken for the answer to the request
// in progress.
#include <gtest/gtest.h>

#include "http/response_match.h"

namespace
{

bool
matches (const char *request_id, const char *response_id, bool is_first)
{
  br_response_match_t match = {};

  match.request_id = br_str_from (request_id);
  match.response_id = br_str_from (response_id);
  match.is_first = is_first;
  return br_response_matches (&match);
}

TEST (ResponseMatch, OwnIdMatchesAnywhere)
{
  EXPECT_TRUE (matches ("a1", "a1", true));
  EXPECT_TRUE (matches ("a1", "a1", false));
}

TEST (ResponseMatch, OtherIdNeverMatches)
{
  EXPECT_FALSE (matches ("a1", "a2", true));
  EXPECT_FALSE (matches ("a1", "a2", false));
  EXPECT_FALSE (matches ("a1", "a", true));
  EXPECT_FALSE (matches ("", "a2", true));
}

TEST (ResponseMatch, RefusalWithoutIdIsNotOursOnAKeptConnection)
{
  EXPECT_FALSE (matches ("a1", "", false));
  EXPECT_FALSE (matches ("", "", false));
}

TEST (ResponseMatch, NewConnectionCarriesNoOtherRequest)
{
  EXPECT_TRUE (matches ("a1", "", true));
  EXPECT_TRUE (matches ("", "", true));
}

} // namespace
