/* Admits requests on one entry VM: enforces the limits of organisations, queues
 * requests fairly between them, and refuses those that would miss their
 * deadline, with a retry-after time.  A state machine without a clock of its
 * own: each call handles one input message and appends output messages.
 *
 * A refusal is sent in the same call that decides on it, never later. */
#ifndef BR_ORGANISATION_ADMISSION_H
#define BR_ORGANISATION_ADMISSION_H

#include "base/clock.h"
#include "base/error.h"
#include "base/label.h"
#include "base/str.h"
#include "base/vec.h"

BR_BEGIN_DECLS

/* Maximum number of requests that wait on this VM, over all organisations and
 * services. */
#define BR_ADMISSION_QUEUE_MAX 4096

/* Interval between digests to the other VMs of the failure domain, in
 * milliseconds. */
#define BR_ADMISSION_DIGEST_MS 500

typedef struct br_admission br_admission_t;

/* The limits declared for an organisation; 0 means no limit.  They apply to all
 * entry VMs of a failure domain together. */
typedef struct
{
  br_name_t name;
  int64_t weight;
  int64_t requests_per_second;
  int64_t in_flight;
} br_admission_limits_t;

/* What the sender lacks of one organisation's limits, and what it lends to the
 * receiver. */
typedef struct
{
  br_name_t organisation;
  uint64_t lacking_rate; /* thousandths of a request per second */
  uint64_t lacking_slots;
  uint64_t lent_rate;
  uint64_t lent_slots;
} br_admission_demand_t;

BR_VEC (br_admission_demands, br_admission_demand_t);

/* The periodic message from one entry VM to another of its failure domain. */
typedef struct
{
  br_name_t vm; /* the sender of an input, the receiver of an output */
  uint64_t incarnation;
  br_ms_t sent_ms;
  uint64_t echo_incarnation;
  br_ms_t echo_sent_ms;
  br_admission_demands_t demands; /* owned */
} br_admission_digest_t;

typedef struct
{
  uint64_t ticket; /* unique number that the calling code assigns */
  br_name_t organisation;
  br_name_t service;
  uint64_t tokens;     /* estimated cost */
  br_ms_t deadline_ms; /* latest start */
} br_admission_request_t;

/* X (id, meaning) */
#define BR_ADMISSION_INPUT_TABLE(X)                                            \
  X (LIMITS, "an organisation was declared or changed")                        \
  X (REMOVE, "the declaration of an organisation was removed")                 \
  X (CAPACITY, "how many requests of a service may run from this VM")          \
  X (REQUEST, "a new request")                                                 \
  X (DISCONNECT, "the caller of a request has disconnected")                   \
  X (DONE, "a request that was admitted has ended")                            \
  X (DIGEST, "a digest of another VM of the failure domain arrived")           \
  X (TICK, "time has passed")

typedef enum
{
#define X(id, help) BR_ADMISSION_##id,
  BR_ADMISSION_INPUT_TABLE (X)
#undef X
} br_admission_input_kind_t;

typedef struct
{
  br_admission_input_kind_t kind;
  union
  {
    br_admission_limits_t limits;
    br_name_t remove;
    struct
    {
      br_name_t service;
      uint64_t max;        /* requests that may run; UINT64_MAX: unknown */
      uint64_t unreserved; /* MAX without the requests reserved for
                              organisations that run less than their share */
    } capacity;
    br_admission_request_t request;
    uint64_t disconnect;
    uint64_t done;
    const br_admission_digest_t *digest;
  };
} br_admission_input_t;

/* X (id, meaning) */
#define BR_ADMISSION_OUTPUT_TABLE(X)                                           \
  X (ADMITTED, "start the request now")                                        \
  X (REFUSED, "send the refusal now; the request has not run")                 \
  X (SEND_DIGEST, "send the digest to that VM")

typedef enum
{
#define X(id, help) BR_ADMISSION_##id,
  BR_ADMISSION_OUTPUT_TABLE (X)
#undef X
} br_admission_output_kind_t;

typedef struct
{
  br_admission_output_kind_t kind;
  uint64_t ticket;
  br_error_t error; /* of REFUSED: LIMITED or UNAVAILABLE, with a retry-after
                       time */
  br_admission_digest_t digest; /* of SEND_DIGEST; owned by the message */
} br_admission_output_t;

BR_VEC (br_admission_outbox, br_admission_output_t);

/* VMS lists all entry VMs of the failure domain, including this one. */
typedef struct
{
  br_name_t vm;
  uint64_t incarnation;
  const br_names_t *vms; /* copied */
  br_ms_t now;
} br_admission_options_t;

br_admission_t *br_admission_new (const br_admission_options_t *options);
void br_admission_free (br_admission_t *admission);

/* Handles one input and appends the resulting messages to OUTBOX. */
void br_admission_handle (br_admission_t *admission,
                          const br_admission_input_t *input,
                          br_ms_t now,
                          br_admission_outbox_t *outbox);

/* Empties OUTBOX and frees the demands that its messages own. */
void br_admission_outbox_reset (br_admission_outbox_t *outbox);

/* Return the number of requests that wait or run, for operators. */
size_t br_admission_waiting (const br_admission_t *admission);
size_t br_admission_running (const br_admission_t *admission);

BR_END_DECLS

#endif
