#include <gtest/gtest.h>

#include "base/random.h"
#include "wire/frame.h"

static br_frame_t
envelope_frame (const char *payload)
{
  br_frame_t frame = {};

  frame.kind = BR_FRAME_ENVELOPE;
  frame.envelope.part = BR_PART_DOMAIN;
  frame.envelope.hlc = { 12, 3 };
  frame.envelope.payload = br_str_from (payload);
  return frame;
}

TEST (Frame, UnpacksToWhatWasPacked)
{
  br_buf_t buf = {};
  br_frame_t sent = envelope_frame ("hello");
  br_frame_t got;
  size_t used = 0;
  br_error_t err;

  br_frame_pack (&sent, &buf);
  ASSERT_EQ (br_frame_unpack (br_buf_str (&buf), "p", &got, &used, &err),
             BR_FRAME_READY);
  EXPECT_EQ (used, buf.len);
  EXPECT_EQ (got.envelope.part, BR_PART_DOMAIN);
  EXPECT_TRUE (br_str_equal (got.envelope.payload, br_str_from ("hello")));
  br_frame_release (&got);
  br_buf_free (&buf);
}

TEST (Frame, EveryTruncationIsPartial)
{
  br_buf_t buf = {};
  br_frame_t sent = envelope_frame ("hello");
  br_frame_t got;
  size_t used;
  br_error_t err;

  br_frame_pack (&sent, &buf);
  for (size_t len = 0; len < buf.len; len++)
    EXPECT_EQ (
        br_frame_unpack (br_str_make (buf.data, len), "p", &got, &used, &err),
        BR_FRAME_PARTIAL);
  br_buf_free (&buf);
}

TEST (Frame, LengthOverTheLimitNamesThePeer)
{
  br_frame_t got;
  size_t used;
  br_error_t err;

  EXPECT_EQ (br_frame_unpack (br_str_make ("\xff\xff\xff\xff", 4), "chuy-1",
                              &got, &used, &err),
             BR_FRAME_BAD);
  EXPECT_STREQ (err.peer, "chuy-1");
}

TEST (Frame, MutatedFramesDoNotCrash)
{
  br_random_t random;

  br_random_seed (&random, 1);
  for (int round = 0; round < 20000; round++)
    {
      br_buf_t buf = {};
      br_frame_t sent = envelope_frame ("some payload");
      br_frame_t got;
      size_t used;
      br_error_t err;

      br_frame_pack (&sent, &buf);
      buf.data[br_random_below (&random, buf.len)]
          ^= (char)(1 + br_random_below (&random, 255));
      if (br_frame_unpack (br_buf_str (&buf), "p", &got, &used, &err)
          == BR_FRAME_READY)
        br_frame_release (&got);
      br_buf_free (&buf);
    }
}
