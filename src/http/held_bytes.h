/* The account of the bytes that a process holds for callers that are not yet
 * served, over all its connections.  Decides which connection goes first when
 * the limit is exceeded; does no I/O. */
#ifndef BR_HTTP_HELD_BYTES_H
#define BR_HTTP_HELD_BYTES_H

#include "base/clock.h"
#include "base/str.h"

BR_BEGIN_DECLS

typedef struct br_held br_held_t;

/* X (id, metric name, help text) */
#define BR_HELD_COUNT_TABLE(X)                                                 \
  X (SHED, "held_shed_total",                                                  \
     "Connections closed because the limit on held bytes was exceeded")        \
  X (SLOW, "held_slow_total",                                                  \
     "Requests and frames refused because they came too slowly")               \
  X (SILENT, "held_silent_total",                                              \
     "Connections closed because too many had sent nothing")                   \
  X (CONNECTIONS, "held_connections_total",                                    \
     "Connections closed because too many were open")                          \
  X (HEAD, "held_refused_from_head_total",                                     \
     "Requests refused from their head, before their body")                    \
  X (EXCESS, "held_excess_total",                                              \
     "Connections closed that sent more than a request or greeting may have")

typedef enum
{
#define X(id, name, help) BR_HELD_##id,
  BR_HELD_COUNT_TABLE (X)
#undef X
      BR_HELD_COUNT
} br_held_count_t;

/* The shares that a limit of 0 stands for are taken by the owner.  All times
 * are on the owner's monotonic clock. */
typedef struct
{
  size_t limit;           /* of the settings, in bytes */
  size_t longest;         /* one request of this many bytes always fits */
  size_t bytes;           /* held now */
  size_t most;            /* held at once since the start */
  br_ms_t grace_ms;       /* before progress is asked for */
  size_t rate_min;        /* bytes a second that a body must come at */
  size_t silent_max;      /* connections of one port that have sent nothing */
  size_t connections_max; /* connections of one port */
  size_t greeting_max;    /* accepted links without a valid greeting */
  uint64_t counts[BR_HELD_COUNT];
  br_held_t *first;
} br_held_account_t;

/* What one connection holds.  The connection embeds it. */
struct br_held
{
  br_held_account_t *account;
  size_t bytes;
  bool may_be_shed;
  br_ms_t since_ms;           /* when its request, or its answer, began */
  br_ms_t progress_ms;        /* when the last bytes came or went */
  br_ms_t window_ms;          /* begin of the current window of progress */
  size_t window_bytes;        /* came or went in the current window */
  size_t previous_bytes;      /* and in the one before */
  void (*shed) (void *owner); /* ends what the connection holds */
  void *owner;
  br_held_t *prev;
  br_held_t *next;
};

void br_held_join (br_held_t *held, br_held_account_t *account, br_ms_t now);
void br_held_leave (br_held_t *held);

/* Begins a new request: its age and progress count from NOW. */
void br_held_begin (br_held_t *held, br_ms_t now);

/* Sets what the connection holds.  MAY_BE_SHED is false for what is being
 * served. */
void br_held_set (br_held_t *held, size_t bytes, bool may_be_shed);

/* Adds N bytes that came, or that the peer took. */
void br_held_progress (br_held_t *held, size_t n, br_ms_t now);

/* Returns whether a body of which RECEIVED bytes have come since SINCE_MS came
 * too slowly. */
bool br_held_is_slow (const br_held_account_t *account,
                      uint64_t received,
                      br_ms_t since_ms,
                      br_ms_t now);

bool br_held_is_over (const br_held_account_t *account);

/* Returns the connection that goes first, or NULL if none may go: of those that
 * are older than the grace time the one with the least progress, or else the
 * one that holds the most bytes. */
br_held_t *br_held_first_to_go (const br_held_account_t *account, br_ms_t now);

/* Sheds connections until the account is within its limit.  Must not be called
 * while the owner of a connection is in use that may be shed. */
void br_held_shed (br_held_account_t *account, br_ms_t now);

/* Returns the bytes of progress a second, for the age of the request. */
double br_held_rate (const br_held_t *held, br_ms_t now);

/* Appends the counts and sums in the text exposition format to OUT. */
void br_held_print (const br_held_account_t *account, br_buf_t *out);

BR_END_DECLS

#endif
