// Tests the end of a stream at each of its bytes, in all framings: only the
// close of an answer without framing, between two events, can be taken for the
// end.
#include <gtest/gtest.h>

#include <string>

#include "http/http_reader.h"
#include "site/event_stream.h"

namespace
{

const char head[]
    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\n";
const std::string events[]
    = { "id: 1\ndata: one\n\n", "id: 2\r\ndata: two\r\n\r\n",
        "id: 3\ndata: a\ndata: b\n\n" };

enum framing_t
{
  LENGTH,
  CHUNKS,
  CLOSE,
};

const char interim[] = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

std::string
message (framing_t framing, bool has_interim, size_t *body_at)
{
  std::string body;
  std::string fields;
  char chunk[16];

  for (const std::string &event : events)
    {
      snprintf (chunk, sizeof chunk, "%zx\r\n", event.size ());
      body += framing == CHUNKS ? chunk + event + "\r\n" : event;
    }
  if (framing == CHUNKS)
    {
      body += "0\r\n\r\n";
      fields = "Transfer-Encoding: chunked\r\n";
    }
  else if (framing == LENGTH)
    fields = "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  std::string text (sizeof head + fields.size (), '\0');
  text.resize (
      (size_t)snprintf (text.data (), text.size () + 1, head, fields.c_str ()));
  if (has_interim)
    text = interim + text;
  *body_at = text.size ();
  return text + body;
}

// Reads the first LEN bytes of TEXT and an orderly close.  *STREAM has its
// events, *ENDED whether the message is complete.
void
read_answer (const std::string &text,
             size_t len,
             br_event_stream_t *stream,
             bool *ended)
{
  br_http_reader_t *reader = br_http_reader_new (BR_HTTP_RESPONSES, 32768);
  br_str_t input = br_str_make (text.data (), len);
  bool closed = false;
  br_error_t err;

  for (;;)
    {
      size_t used = 0;
      br_http_step_t step = br_http_reader_next (reader, input, &used, &err);

      input = br_str_make (input.data + used, input.len - used);
      if (step == BR_HTTP_BODY)
        br_event_stream_take (stream, br_http_reader_body (reader));
      else if (step == BR_HTTP_END)
        *ended = br_http_reader_head (reader)->status >= 200;
      if (*ended || step == BR_HTTP_BAD)
        break;
      if (step != BR_HTTP_NEED_MORE)
        continue;
      if (closed || !br_http_reader_finish (reader))
        break;
      closed = true;
    }
  br_http_reader_free (reader);
}

// Returns whether the first LEN bytes of TEXT look like a complete stream.
bool
looks_complete (const std::string &text, size_t len, br_event_stream_t *stream)
{
  bool ended = false;

  read_answer (text, len, stream, &ended);
  return ended && !br_event_stream_is_inside_event (stream)
         && br_event_stream_has_event (stream);
}

// Returns whether LEN bytes of the body without framing are whole events.
bool
is_between_events (size_t len)
{
  size_t at = 0;

  for (const std::string &event : events)
    {
      at += event.size ();
      if (at == len)
        return true;
    }
  return false;
}

TEST (EventStreamEnd, EachByteInAllFramings)
{
  for (framing_t framing : { LENGTH, CHUNKS, CLOSE })
    for (bool has_interim : { false, true })
      {
        size_t body_at;
        std::string text = message (framing, has_interim, &body_at);

        for (size_t len = 0; len <= text.size (); len++)
          {
            br_event_stream_t stream = {};
            bool expected = len == text.size ()
                            || (framing == CLOSE && len > body_at
                                && is_between_events (len - body_at));

            EXPECT_EQ (looks_complete (text, len, &stream), expected)
                << "framing " << framing << ", interim " << has_interim << ", "
                << len << " of " << text.size ();
            br_event_stream_release (&stream);
          }
      }
}

// A plain answer without framing looks complete from the end of its head on;
// whether its upstream still runs decides then.
TEST (PlainAnswerEnd, EachByteInAllFramings)
{
  for (framing_t framing : { LENGTH, CHUNKS, CLOSE })
    {
      size_t body_at;
      std::string text = message (framing, false, &body_at);

      for (size_t len = 0; len <= text.size (); len++)
        {
          br_event_stream_t stream = {};
          bool ended = false;

          read_answer (text, len, &stream, &ended);
          EXPECT_EQ (ended, len == text.size ()
                                || (framing == CLOSE && len >= body_at))
              << "framing " << framing << ", " << len << " of " << text.size ();
          br_event_stream_release (&stream);
        }
    }
}

} // namespace
