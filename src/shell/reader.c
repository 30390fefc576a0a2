#include "shell/reader.h"

#include <event2/event.h>
#include <stdio.h>

#include "http/error_body.h"
#include "shell/caller_reply.h"

/* Buckets of the hash table of readers, by work number. */
#define READER_BUCKETS 4096

/* Time without a token after which the head of a stream is sent without an
 * event.  It reports the acceptance of the request to the caller. */
#define HEAD_DELAY_MS 200

/* Maximum number of headers of a reply in addition to Content-Type. */
#define HEADERS_MAX 3

#define HTTP_STATUS_OK 200

static const char chat_path[] = "/v1/chat/completions";

/* One caller that reads the answer of one piece of work. */
typedef struct reader
{
  br_readers_t *readers;
  br_http_conn_t *conn;
  uint64_t work;
  size_t offset;        /* parts written here or before the reconnection */
  uint64_t digest;      /* of these parts, valid once RESUMED is set */
  br_event_id_t resume; /* last event that the caller received */
  bool resumed;         /* RESUME has been checked against the answer */
  struct event *head;   /* timer: the head of a stream is due */
  bool stream;
  bool chat;
  bool started; /* the head of a streamed reply is sent */
  br_name_t model;
  char contract[BR_NAME_MAX + 40];
  struct reader *next;
} reader_t;

struct br_readers
{
  br_node_t *node;
  reader_t *buckets[READER_BUCKETS]; /* linked lists */
  size_t n;
};

static reader_t **
readers_bucket (br_readers_t *readers, uint64_t work)
{
  return &readers->buckets[work % READER_BUCKETS];
}

static void
reader_free (reader_t *reader)
{
  br_readers_t *readers = reader->readers;
  br_work_t *work = br_work_task_find (readers->node->works, reader->work);
  reader_t **at = readers_bucket (readers, reader->work);

  while (*at != reader)
    at = &(*at)->next;
  *at = reader->next;
  readers->n--;
  if (work != NULL)
    br_work_remove_reader (readers->node->works, work);
  event_free (reader->head);
  free (reader);
}

void
br_readers_on_disconnect (br_http_conn_t *conn)
{
  reader_t *reader = br_http_conn_user (conn);

  if (reader != NULL)
    reader_free (reader);
}

static bool
reader_is_too_slow (const reader_t *reader)
{
  return br_http_conn_unsent (reader->conn)
         > (size_t)reader->readers->node->settings.reader_backlog_max_bytes;
}

static void
reader_send (reader_t *reader, br_str_t bytes)
{
  br_http_conn_write (reader->conn, bytes);
  br_counters_add (&reader->readers->node->counters, BR_COUNTER_BYTES_STREAMED,
                   bytes.len);
}

/* Fills HEADERS with the contract id and, when it applies, the backup VM.
 * Returns their number.  The views are valid as long as READER and WORK. */
static size_t
reader_headers (const reader_t *reader,
                const br_work_t *work,
                br_http_header_t headers[HEADERS_MAX])
{
  size_t n = 0;

  headers[n++] = (br_http_header_t){ br_str_from ("X-Contract-Id"),
                                     br_str_from (reader->contract) };
  if (work->repeatable && !work->followed)
    headers[n++] = (br_http_header_t){
      br_str_from ("X-Contract-Partner"),
      work->backup.len > 0 ? br_name_str (&work->backup) : br_str_from ("none"),
    };
  return n;
}

static void
reader_start_stream (reader_t *reader, const br_work_t *work)
{
  br_http_header_t headers[HEADERS_MAX];
  br_caller_reply_t reply = {
    .status = HTTP_STATUS_OK,
    .content_type = "text/event-stream",
    .headers = headers,
  };

  if (reader->started)
    return;
  reader->started = true;
  reply.n_headers = reader_headers (reader, work, headers);
  headers[reply.n_headers++]
      = (br_http_header_t){ br_str_from ("Cache-Control"),
                            br_str_from ("no-store") };
  br_caller_reply_begin (reader->conn, &reply);
}

static void
reader_write_parts (reader_t *reader, const br_work_t *work)
{
  br_buf_t out = { 0 };

  while (reader->offset < work->answer.parts.len)
    {
      size_t offset = reader->offset++;

      reader->digest = br_answer_digest_add (
          reader->digest, br_answer_part (&work->answer, offset));
      br_engine_event_write (&work->answer, offset, reader->digest,
                             work->contract_text, &reader->model, reader->chat,
                             &out);
    }
  if (out.len > 0)
    {
      reader_start_stream (reader, work);
      reader_send (reader, br_buf_str (&out));
    }
  br_buf_free (&out);
}

static void
reader_reply_error (reader_t *reader,
                    const br_work_t *work,
                    const br_error_t *err)
{
  br_http_header_t headers[HEADERS_MAX];
  size_t n = reader_headers (reader, work, headers);

  br_caller_reply_error (reader->conn, headers, n, err);
}

static void
reader_end_stream (reader_t *reader, const br_work_t *work)
{
  br_buf_t out = { 0 };

  if (work->state == BR_WORK_FAILED && !reader->started)
    {
      reader_reply_error (reader, work, &work->error);
      return;
    }
  reader_start_stream (reader, work);
  if (work->state == BR_WORK_FAILED)
    {
      br_buf_printf (&out, "event: error\ndata: ");
      br_http_error_json (&work->error, &out);
      br_buf_printf (&out, "\n");
    }
  else
    br_buf_printf (&out, "data: [DONE]\n\n");
  reader_send (reader, br_buf_str (&out));
  br_http_conn_end (reader->conn);
  br_buf_free (&out);
}

static void
reader_reply_whole (reader_t *reader, const br_work_t *work)
{
  br_http_header_t headers[HEADERS_MAX];
  br_caller_reply_t reply = {
    .status = HTTP_STATUS_OK,
    .content_type = "application/json",
    .headers = headers,
  };
  br_buf_t out = { 0 };

  if (work->state == BR_WORK_FAILED)
    {
      reader_reply_error (reader, work, &work->error);
      return;
    }
  reply.n_headers = reader_headers (reader, work, headers);
  if (work->kind == BR_SERVICE_PLAIN)
    {
      reply.status = work->status;
      br_caller_reply (reader->conn, &reply, br_buf_str (&work->answer.bytes));
      return;
    }
  br_completion_write (&work->answer, work->contract_text, &reader->model,
                       reader->chat, &out);
  br_caller_reply (reader->conn, &reply, br_buf_str (&out));
  br_buf_free (&out);
}

static void
reader_abort (reader_t *reader, const br_work_t *work)
{
  BR_LOG (&reader->readers->node->log, "caller", "slow_reader",
          br_field_z ("contract", work->contract_text),
          br_field_int ("offset", (int64_t)reader->offset));
  br_http_conn_abort (reader->conn);
  reader_free (reader);
}

/* Refuses a caller whose Last-Event-ID does not match the answer.  Frees the
 * reader. */
static void
reader_refuse_resume (reader_t *reader, const br_work_t *work)
{
  br_error_t err;

  if (reader->resume.offset > work->answer.parts.len)
    br_error_set (&err, BR_ERROR_INVALID, "read request", "",
                  "Last-Event-ID: is beyond the end of the answer, which has "
                  "%zu parts",
                  work->answer.parts.len);
  else
    br_error_set (&err, BR_ERROR_CONFLICT, "resume answer", "",
                  "Last-Event-ID: the answer was generated again and differs "
                  "before this event; read it from the start");
  reader_reply_error (reader, work, &err);
  reader_free (reader);
}

/* Returns whether parts, or the end of failed work, can be sent from RESUME on.
 * Returns false while the answer has fewer parts than RESUME, and when the
 * reader was refused and freed. */
static bool
reader_resume (reader_t *reader, const br_work_t *work)
{
  const br_event_id_t *resume = &reader->resume;

  if (reader->resumed)
    return true;
  if (resume->offset > work->answer.parts.len)
    {
      if (work->state == BR_WORK_DONE)
        reader_refuse_resume (reader, work);
      return work->state == BR_WORK_FAILED;
    }
  reader->digest = br_answer_digest (&work->answer, resume->offset);
  if (resume->has_digest && resume->digest != (uint32_t)reader->digest)
    {
      reader_refuse_resume (reader, work);
      return false;
    }
  reader->resumed = true;
  return true;
}

/* Copies the service and the form of the answer from work that another VM owns,
 * once they are known. */
static void
reader_fill_service (reader_t *reader, const br_work_t *work)
{
  if (reader->model.len > 0 || work->service.len == 0)
    return;
  reader->model = work->service;
  reader->stream = work->kind == BR_SERVICE_MODEL;
  reader->chat
      = br_str_equal (br_buf_str (&work->path), br_str_from (chat_path));
}

/* Writes the new parts and, when the work has ended, the end of the answer.
 * The reader may be freed. */
static void
reader_update (reader_t *reader, const br_work_t *work)
{
  if (!work->accepted && work->state == BR_WORK_RUNNING)
    return;
  reader_fill_service (reader, work);
  if (!reader_resume (reader, work))
    return;
  if (reader->stream)
    reader_write_parts (reader, work);
  if (work->state == BR_WORK_RUNNING)
    {
      if (reader->stream && reader_is_too_slow (reader))
        reader_abort (reader, work);
      return;
    }
  if (reader->stream)
    reader_end_stream (reader, work);
  else
    reader_reply_whole (reader, work);
  reader_free (reader);
}

void
br_readers_on_work (br_readers_t *readers, uint64_t number)
{
  br_work_t *work = br_work_task_find (readers->node->works, number);
  reader_t *next;

  if (work == NULL)
    return;
  for (reader_t *reader = *readers_bucket (readers, number); reader != NULL;
       reader = next)
    {
      next = reader->next;
      if (reader->work == number)
        reader_update (reader, work);
    }
}

/* Sends the head of a stream when no token has come by HEAD_DELAY_MS, or tries
 * again later while the work is not accepted or still queued. */
static void
reader_on_head (evutil_socket_t fd, short what, void *context)
{
  reader_t *reader = context;
  const br_work_t *work
      = br_work_task_find (reader->readers->node->works, reader->work);
  struct timeval again = { 0, HEAD_DELAY_MS * 1000 };

  (void)fd;
  (void)what;
  if (reader->started || work == NULL || work->state != BR_WORK_RUNNING)
    return;
  if (work->accepted && !work->queued
      && (reader->resumed || reader->offset == 0))
    reader_start_stream (reader, work);
  else
    event_add (reader->head, &again);
}

void
br_readers_add (br_readers_t *readers,
                br_http_conn_t *conn,
                br_work_t *work,
                const br_completion_head_t *head,
                const br_event_id_t *resume)
{
  struct timeval head_delay = { 0, HEAD_DELAY_MS * 1000 };
  reader_t *reader = br_alloc_zero (sizeof *reader);
  br_node_message_t message = { .kind = BR_NODE_WORK_CHANGED };

  reader->readers = readers;
  reader->conn = conn;
  br_http_conn_set_user (conn, reader);
  snprintf (reader->contract, sizeof reader->contract, "%s",
            work->contract_text);
  reader->work = work->number;
  if (resume != NULL)
    reader->resume = *resume;
  reader->offset = reader->resume.offset;
  reader->stream = head->stream;
  reader->chat = head->chat;
  reader->model = head->model;
  reader->head = evtimer_new (readers->node->base, reader_on_head, reader);
  if (reader->stream)
    event_add (reader->head, &head_delay);
  reader->next = *readers_bucket (readers, work->number);
  *readers_bucket (readers, work->number) = reader;
  readers->n++;
  br_work_add_reader (work);
  message.work = work->number;
  br_node_post (readers->node, message);
}

static void
readers_free_bucket (reader_t **bucket)
{
  while (*bucket != NULL)
    {
      reader_t *reader = *bucket;

      *bucket = reader->next;
      event_free (reader->head);
      free (reader);
    }
}

br_readers_t *
br_readers_new (br_node_t *node)
{
  br_readers_t *readers = br_alloc_zero (sizeof *readers);

  readers->node = node;
  return readers;
}

size_t
br_readers_count (const br_readers_t *readers)
{
  return readers->n;
}

void
br_readers_free (br_readers_t *readers)
{
  for (size_t i = 0; i < READER_BUCKETS; i++)
    readers_free_bucket (&readers->buckets[i]);
  free (readers);
}
