// Tests which HTTP messages the reader accepts and refuses, and that the result
// does not depend on how the input is split.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "http/http_reader.h"

namespace
{

// One message as the reader returned it.
struct Message
{
  std::string target;
  std::string body;
  bool
  operator== (const Message &other) const
  {
    return target == other.target && body == other.body;
  }
};

struct Reading
{
  std::vector<Message> messages;
  bool bad = false;
  br_error_code_t code = BR_ERROR_OK;
};

// Reads TEXT in pieces that end at CUTS.  If END, the stream ends after it.
Reading
read (const std::string &text,
      const std::vector<size_t> &cuts = {},
      br_http_side_t side = BR_HTTP_REQUESTS,
      bool end = false)
{
  br_http_reader_t *reader = br_http_reader_new (side, 2048);
  Reading reading;
  Message message;
  br_error_t err = {};
  size_t from = 0;
  std::vector<size_t> ends = cuts;

  ends.push_back (text.size ());
  for (size_t to : ends)
    {
      std::string piece = text.substr (from, to - from);
      size_t taken = 0;

      from = to;
      while (!reading.bad)
        {
          size_t used = 0;
          br_http_step_t step = br_http_reader_next (
              reader,
              br_str_make (piece.data () + taken, piece.size () - taken), &used,
              &err);

          taken += used;
          if (step == BR_HTTP_NEED_MORE)
            break;
          if (step == BR_HTTP_HEAD)
            {
              br_str_t target = br_http_reader_head (reader)->target;

              message = Message ();
              if (target.len > 0)
                message.target.assign (target.data, target.len);
            }
          else if (step == BR_HTTP_BODY)
            {
              br_str_t body = br_http_reader_body (reader);

              message.body.append (body.data, body.len);
            }
          else if (step == BR_HTTP_END)
            reading.messages.push_back (message);
          else
            {
              reading.bad = true;
              reading.code = err.code;
            }
        }
    }
  if (end && br_http_reader_finish (reader))
    reading.messages.push_back (message);
  br_http_reader_free (reader);
  return reading;
}

std::string
post (const std::string &fields, const std::string &body = "")
{
  return "POST /a/b HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

TEST (HttpReader, ReadsConsecutiveMessages)
{
  Reading got = read (post ("Content-Length: 3\r\n", "one")
                      + post ("Transfer-Encoding: chunked\r\n",
                              "4;x=y\r\ntwo \r\n5\r\nparts\r\n0\r\n\r\n")
                      + "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");

  ASSERT_FALSE (got.bad);
  ASSERT_EQ (got.messages.size (), 3u);
  EXPECT_EQ (got.messages[0].body, "one");
  EXPECT_EQ (got.messages[1].body, "two parts");
  EXPECT_EQ (got.messages[2].target, "/c");
}

// Heads that two parsers could interpret differently (request smuggling).
TEST (HttpReader, RefusesAmbiguousHeads)
{
  const char *const fields[] = {
    "Content-Length: 3\r\nContent-Length: 4\r\n",
    "Content-Length: 3\r\nContent-Length: 3\r\n",
    "Content-Length : 3\r\n",
    "Content-Length: +3\r\n",
    "Content-Length: 3 3\r\n",
    "Content-Length: 3a\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: identity, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Folded: a\r\n b\r\nContent-Length: 3\r\n",
    "Host: other\r\nContent-Length: 3\r\n",
    "Bare: a\nContent-Length: 3\r\n",
    "Bare: a\rb\r\nContent-Length: 3\r\n",
    "No-Colon\r\nContent-Length: 3\r\n",
    "Bad(name: a\r\nContent-Length: 3\r\n",
    "Authorization: a\r\nAuthorization: b\r\nContent-Length: 3\r\n",
  };

  for (const char *field : fields)
    {
      Reading got = read (post (field, "abcGET /smuggled HTTP/1.1\r\n\r\n"));

      EXPECT_TRUE (got.bad) << field;
      EXPECT_TRUE (got.messages.empty ()) << field;
    }
}

TEST (HttpReader, RefusesResponsesWithoutASoundStatus)
{
  const char *const sound[] = { "200", "200 ", "200 OK", "499 Own", "599 x" };
  const char *const unsound[] = {
    "000 x", "0 x",   "00 x",   "099 x",  "20 x",  "020 x",  "0200 x", "101 x",
    "600 x", "999 x", "1000 x", "+200 x", "2O0 x", " 200 x", "",       "-1 x",
  };
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";

  for (const char *status : sound)
    EXPECT_EQ (
        read (std::string ("HTTP/1.1 ") + status + rest, {}, BR_HTTP_RESPONSES)
            .messages.size (),
        1u)
        << status;
  for (const char *status : unsound)
    {
      Reading got = read (std::string ("HTTP/1.1 ") + status + rest, {},
                          BR_HTTP_RESPONSES);

      EXPECT_TRUE (got.bad) << status;
      EXPECT_TRUE (got.messages.empty ()) << status;
    }
}

TEST (HttpReader, RefusesControlCharactersInEachLineOfAHead)
{
  for (int c = 0; c < 256; c++)
    {
      const std::string byte (1, static_cast<char> (c));
      bool sound = (c >= ' ' && c != 0x7f) || c == '\t';
      Reading reason
          = read ("HTTP/1.1 200 a" + byte + "b\r\nContent-Length: 2\r\n\r\nok",
                  {}, BR_HTTP_RESPONSES);
      Reading value = read ("HTTP/1.1 200 OK\r\nPart: a" + byte
                                + "b\r\nContent-Length: 2\r\n\r\nok",
                            {}, BR_HTTP_RESPONSES);

      EXPECT_EQ (reason.messages.size (), sound ? 1u : 0u) << c;
      EXPECT_EQ (value.messages.size (), sound ? 1u : 0u) << c;
    }
}

TEST (HttpReader, RefusesATooLongHead)
{
  Reading got = read (post ("Long: " + std::string (4000, 'x') + "\r\n"));

  EXPECT_TRUE (got.bad);
  EXPECT_EQ (got.code, BR_ERROR_HEAD_TOO_LARGE);
}

TEST (HttpReader, UnframedResponseEndsWithItsConnection)
{
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nall of it";
  const std::string framed
      = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf";
  Reading whole = read (unframed, {}, BR_HTTP_RESPONSES, true);
  Reading half = read (framed, {}, BR_HTTP_RESPONSES, true);

  ASSERT_EQ (whole.messages.size (), 1u);
  EXPECT_EQ (whole.messages[0].body, "all of it");
  EXPECT_TRUE (read (unframed, {}, BR_HTTP_RESPONSES).messages.empty ());
  EXPECT_TRUE (half.messages.empty ());
}

// The same messages are read however the bytes are split.
TEST (HttpReader, SplitsDoNotChangeTheMessages)
{
  const std::string text
      = post ("Content-Length: 5\r\n", "hello")
        + post ("Transfer-Encoding: chunked\r\n",
                "3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n")
        + "GET /x?y=z HTTP/1.1\r\nHost: h\r\n\r\n";
  Reading whole = read (text);
  std::mt19937 random (7);

  ASSERT_EQ (whole.messages.size (), 3u);
  for (size_t cut = 1; cut < text.size (); cut++)
    EXPECT_EQ (read (text, { cut }).messages, whole.messages) << cut;
  for (int round = 0; round < 200; round++)
    {
      std::vector<size_t> cuts;

      for (size_t at = random () % 9; at < text.size ();
           at += 1 + random () % 9)
        cuts.push_back (at);
      EXPECT_EQ (read (text, cuts).messages, whole.messages) << round;
    }
}

// Mutated requests: the complete messages, and whether the input is refused,
// are the same however the bytes are split.
TEST (HttpReader, SplitsDoNotChangeMutatedMessages)
{
  const std::string seed_text
      = post ("Content-Length: 4\r\nX-A: b\r\n", "body")
        + post ("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n");
  const char alphabet[] = "\r\n :;,0123456789abcfhunkedCTLE-/\t\0+";
  std::mt19937 random (20261204);

  for (int round = 0; round < 20000; round++)
    {
      std::string text = seed_text;
      std::vector<size_t> cuts;

      for (unsigned i = 0; i < 1 + random () % 3; i++)
        {
          size_t at = random () % text.size ();
          char c = alphabet[random () % (sizeof alphabet - 1)];

          switch (random () % 3)
            {
            case 0:
              text[at] = c;
              break;
            case 1:
              text.insert (at, 1, c);
              break;
            default:
              text.erase (at, 1);
              break;
            }
        }
      for (size_t at = random () % 20; at < text.size ();
           at += 1 + random () % 20)
        cuts.push_back (at);
      Reading whole = read (text);
      Reading split = read (text, cuts);

      ASSERT_EQ (whole.messages, split.messages) << text;
      ASSERT_EQ (whole.bad, split.bad) << text;
    }
}

}
