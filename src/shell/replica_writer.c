#include "shell/replica_writer.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "shell/node.h"

/* Free disk space that a write must leave for further proposals to be
 * accepted. */
#define FREE_SPACE_MIN_BYTES (512 * 1024)

typedef enum
{
  JOB_NONE,
  JOB_READY,
  JOB_DONE,
  JOB_STOP,
} job_state_t;

struct br_replica_writer
{
  br_store_t *store;
  br_replica_written_fn written;
  void *context;
  struct event *done;
  int done_fd;
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wake;

  job_state_t state; /* protected by the mutex */

  /* Used by the thread in state JOB_READY, by the event loop otherwise. */
  br_store_records_t records;
  bool has_snapshot;
  br_buf_t snapshot;
  br_replica_written_t result;
};

static bool
writer_write_records (br_replica_writer_t *writer, br_error_t *err)
{
  size_t n = writer->records.len;
  br_str_t *views = br_alloc (n * sizeof *views);
  bool ok = true;

  for (size_t i = 0; i < n; i++)
    views[i] = br_buf_str (&writer->records.items[i]);
  if (writer->has_snapshot)
    ok = br_store_checkpoint (writer->store, br_buf_str (&writer->snapshot),
                              views, n, err);
  else if (n > 0)
    ok = br_store_append (writer->store, views, n, err);
  free (views);
  return ok;
}

static void
writer_run_job (br_replica_writer_t *writer)
{
  br_replica_written_t *result = &writer->result;

  *result = (br_replica_written_t){ .ok = true };
  if (!br_store_is_usable (writer->store))
    {
      result->ok = result->recovered
          = br_store_recover (writer->store, &result->error);
      result->damaged = !result->ok && result->error.code == BR_ERROR_CORRUPT;
    }
  if (result->ok)
    result->ok = writer_write_records (writer, &result->error);
  result->has_space = br_store_has_space (writer->store, FREE_SPACE_MIN_BYTES);
  result->log_bytes = br_store_log_bytes (writer->store);
}

static void *
writer_main (void *context)
{
  br_replica_writer_t *writer = context;
  uint64_t one = 1;

  pthread_mutex_lock (&writer->mutex);
  while (writer->state != JOB_STOP)
    {
      if (writer->state != JOB_READY)
        {
          pthread_cond_wait (&writer->wake, &writer->mutex);
          continue;
        }
      pthread_mutex_unlock (&writer->mutex);
      writer_run_job (writer);
      pthread_mutex_lock (&writer->mutex);
      if (writer->state == JOB_READY)
        writer->state = JOB_DONE;
      if (write (writer->done_fd, &one, sizeof one) < 0)
        break;
    }
  pthread_mutex_unlock (&writer->mutex);
  return NULL;
}

static void
writer_set_state (br_replica_writer_t *writer, job_state_t state)
{
  pthread_mutex_lock (&writer->mutex);
  writer->state = state;
  pthread_cond_signal (&writer->wake);
  pthread_mutex_unlock (&writer->mutex);
}

static void
writer_free_job (br_replica_writer_t *writer)
{
  br_store_records_release (&writer->records);
  br_buf_free (&writer->snapshot);
}

static void
writer_on_done (evutil_socket_t fd, short what, void *context)
{
  br_replica_writer_t *writer = context;
  br_replica_written_t result;
  uint64_t count;

  (void)what;
  if (read (fd, &count, sizeof count) < 0)
    return;
  writer_set_state (writer, JOB_NONE);
  result = writer->result;
  if (result.ok)
    writer_free_job (writer);
  writer->written (writer->context, &result);
}

br_replica_writer_t *
br_replica_writer_new (struct event_base *base,
                       br_store_t *store,
                       br_replica_written_fn written,
                       void *context)
{
  br_replica_writer_t *writer = br_alloc_zero (sizeof *writer);
  int rc;

  writer->store = store;
  writer->written = written;
  writer->context = context;
  writer->done_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  writer->done = event_new (base, writer->done_fd, EV_READ | EV_PERSIST,
                            writer_on_done, writer);
  event_priority_set (writer->done, BR_PRIORITY_LOG);
  event_add (writer->done, NULL);
  pthread_mutex_init (&writer->mutex, NULL);
  pthread_cond_init (&writer->wake, NULL);
  rc = pthread_create (&writer->thread, NULL, writer_main, writer);
  assert (rc == 0);
  (void)rc;
  return writer;
}

void
br_replica_writer_free (br_replica_writer_t *writer)
{
  if (writer == NULL)
    return;
  writer_set_state (writer, JOB_STOP);
  pthread_join (writer->thread, NULL);
  event_free (writer->done);
  close (writer->done_fd);
  writer_free_job (writer);
  br_store_close (writer->store);
  pthread_mutex_destroy (&writer->mutex);
  pthread_cond_destroy (&writer->wake);
  free (writer);
}

bool
br_replica_writer_is_busy (const br_replica_writer_t *writer)
{
  pthread_mutex_t *mutex = (pthread_mutex_t *)&writer->mutex;
  bool busy;

  pthread_mutex_lock (mutex);
  busy = writer->state != JOB_NONE;
  pthread_mutex_unlock (mutex);
  return busy;
}

void
br_replica_writer_start (br_replica_writer_t *writer,
                         br_store_records_t *records,
                         bool has_snapshot,
                         br_buf_t *snapshot)
{
  writer_free_job (writer);
  writer->records = *records;
  *records = (br_store_records_t){ 0 };
  writer->has_snapshot = has_snapshot;
  if (has_snapshot)
    {
      writer->snapshot = *snapshot;
      *snapshot = (br_buf_t){ 0 };
    }
  writer_set_state (writer, JOB_READY);
}

void
br_replica_writer_retry (br_replica_writer_t *writer)
{
  writer_set_state (writer, JOB_READY);
}
