/* Simulates memberships on one clock.  Their messages are packed as on the
 * wire, and the links can delay, lose and duplicate them, and can be cut in one
 * direction. */
#ifndef BR_TESTS_DOMAIN_BUS_H
#define BR_TESTS_DOMAIN_BUS_H

#include <stdio.h>

#include "domain/membership.h"
#include "wire/frame.h"

#define BUS_VMS_MAX 400
#define BUS_STEP_MS 10

/* Incarnation of the first start.  It has as many digits as a real one, so that
 * measured message sizes match. */
#define BUS_INCARNATION UINT64_C (1796340000000)

typedef struct
{
  br_ms_t at_ms;
  int from;
  int to;
  br_buf_t bytes;
} bus_message_t;

BR_VEC (bus_messages, bus_message_t);

typedef struct
{
  int from;
  br_ms_t at_ms;
  br_membership_output_t output;
} bus_event_t;

BR_VEC (bus_events, bus_event_t);

typedef struct
{
  int n;
  br_ms_t now;
  br_random_t random;
  br_membership_t *vms[BUS_VMS_MAX];
  uint64_t incarnations[BUS_VMS_MAX];
  bool frozen[BUS_VMS_MAX];
  bool dead[BUS_VMS_MAX];
  bool cut[BUS_VMS_MAX][BUS_VMS_MAX]; /* from, to */
  double loss;
  double duplicated;
  br_ms_t delay_ms; /* shortest; the longest is three times this */
  bus_messages_t wire;
  bus_events_t events; /* all outputs except messages */
  bool keep_events;
  bool measured; /* count bytes as framed on the wire */
  uint64_t bytes_sent;
  uint64_t longest;
} bus_t;

static inline br_name_t
bus_name (int i)
{
  char text[16];

  snprintf (text, sizeof text, "vm-%03d", i);
  return br_name_from (text);
}

static inline void
bus_start (bus_t *bus, int i, uint64_t incarnation)
{
  br_membership_options_t options = {};
  br_name_t domain = br_name_from ("d");

  options.vm = bus_name (i);
  options.failure_domain = domain;
  options.incarnation = incarnation;
  options.seed = br_random_below (&bus->random, UINT32_MAX);
  br_membership_free (bus->vms[i]);
  bus->vms[i] = br_membership_new (&options);
  bus->incarnations[i] = incarnation;
  bus->dead[i] = false;
  for (int j = 0; j < bus->n; j++)
    {
      br_name_t name = bus_name (j);

      if (j != i)
        br_membership_add (bus->vms[i], &name, &domain);
    }
}

/* Reports the links of VM I as up at both ends, as the transport does. */
static inline void
bus_link_up (bus_t *bus, int i)
{
  for (int j = 0; j < bus->n; j++)
    {
      br_name_t own = bus_name (i);
      br_name_t other = bus_name (j);

      if (j == i || bus->dead[j] || bus->cut[i][j] || bus->cut[j][i])
        continue;
      br_membership_link_up (bus->vms[i], &other, bus->incarnations[j],
                             bus->now);
      br_membership_link_up (bus->vms[j], &own, bus->incarnations[i], bus->now);
    }
}

static inline bus_t *
bus_new (int n, uint64_t seed)
{
  bus_t *bus = (bus_t *)br_alloc_zero (sizeof *bus);

  bus->n = n;
  bus->delay_ms = 3;
  bus->keep_events = true;
  br_random_seed (&bus->random, seed);
  for (int i = 0; i < n; i++)
    bus_start (bus, i, BUS_INCARNATION);
  for (int i = 0; i < n; i++)
    bus_link_up (bus, i);
  return bus;
}

static inline void
bus_free (bus_t *bus)
{
  for (int i = 0; i < bus->n; i++)
    br_membership_free (bus->vms[i]);
  for (size_t i = 0; i < bus->wire.len; i++)
    br_buf_free (&bus->wire.items[i].bytes);
  bus_messages_free (&bus->wire);
  bus_events_free (&bus->events);
  free (bus);
}

static inline int
bus_index (const br_name_t *name)
{
  return atoi (name->data + 3);
}

static inline void
bus_enqueue (bus_t *bus, int from, int to, br_str_t bytes)
{
  bus_message_t message = {};

  message.from = from;
  message.to = to;
  message.at_ms = bus->now + bus->delay_ms
                  + (br_ms_t)br_random_below (&bus->random,
                                              2 * (uint64_t)bus->delay_ms + 1);
  br_buf_append (&message.bytes, bytes);
  bus_messages_push (&bus->wire, message);
}

static inline void
bus_measure (bus_t *bus, br_str_t bytes)
{
  br_buf_t framed = {};
  br_frame_t frame = {};

  frame.kind = BR_FRAME_ENVELOPE;
  frame.envelope.part = BR_PART_DOMAIN;
  frame.envelope.hlc.wall_ms = INT64_C (1796340000000);
  frame.envelope.payload = bytes;
  br_frame_pack (&frame, &framed);
  bus->bytes_sent += framed.len;
  bus->longest = BR_MAX (bus->longest, framed.len);
  br_buf_free (&framed);
}

static inline void
bus_send (bus_t *bus, int from, const br_membership_output_t *output)
{
  int to = bus_index (&output->name);
  br_buf_t bytes = {};

  br_domain_message_pack (&output->message, bus->now, &bytes);
  if (bus->measured)
    bus_measure (bus, br_buf_str (&bytes));
  if (!bus->cut[from][to] && br_random_unit (&bus->random) >= bus->loss)
    bus_enqueue (bus, from, to, br_buf_str (&bytes));
  if (!bus->cut[from][to] && br_random_unit (&bus->random) < bus->duplicated)
    bus_enqueue (bus, from, to, br_buf_str (&bytes));
  br_buf_free (&bytes);
}

static inline void
bus_drain (bus_t *bus, int i)
{
  br_membership_outputs_t *outbox = br_membership_outbox (bus->vms[i]);

  for (size_t k = 0; k < outbox->len; k++)
    {
      bus_event_t event = { i, bus->now, outbox->items[k] };

      if (outbox->items[k].kind == BR_MEMBERSHIP_SEND)
        bus_send (bus, i, &outbox->items[k]);
      else if (bus->keep_events)
        bus_events_push (&bus->events, event);
    }
  br_membership_outputs_clear (outbox);
}

static inline void
bus_deliver (bus_t *bus, const bus_message_t *message)
{
  br_name_t from = bus_name (message->from);
  br_domain_message_t parsed;
  br_error_t err;

  if (bus->dead[message->to])
    return;
  if (!br_domain_message_unpack (br_buf_str (&message->bytes), from.data,
                                 bus->now, &parsed, &err))
    abort ();
  br_membership_receive (bus->vms[message->to], &from, &parsed, bus->now);
  bus_drain (bus, message->to);
}

static inline void
bus_step (bus_t *bus)
{
  size_t kept = 0;
  size_t len = bus->wire.len;

  bus->now += BUS_STEP_MS;
  for (size_t i = 0; i < len; i++)
    {
      bus_message_t message = bus->wire.items[i];

      if (message.at_ms > bus->now || bus->frozen[message.to])
        {
          bus->wire.items[kept++] = message;
          continue;
        }
      bus_deliver (bus, &message);
      br_buf_free (&message.bytes);
    }
  for (size_t i = len; i < bus->wire.len; i++)
    bus->wire.items[kept++] = bus->wire.items[i];
  bus->wire.len = kept;
  for (int i = 0; i < bus->n; i++)
    if (!bus->dead[i] && !bus->frozen[i])
      {
        br_membership_tick (bus->vms[i], bus->now);
        bus_drain (bus, i);
      }
}

static inline void
bus_run (bus_t *bus, br_ms_t span_ms)
{
  for (br_ms_t end = bus->now + span_ms; bus->now < end;)
    bus_step (bus);
}

static inline const br_member_t *
bus_view (const bus_t *bus, int of, int by)
{
  br_name_t name = bus_name (of);

  return br_membership_find (bus->vms[by], &name);
}

#endif
