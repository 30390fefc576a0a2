/* Many entry VMs of a platform's site in one process, as its control VMs see
 * them: each has a link to every control VM, reports twice a second to all, and
 * tells its loads ten times a second to the leader.  Prints one line for each
 * leader that they hear of. */
#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/digest.h"
#include "base/vec.h"
#include "shell/settings.h"
#include "site/site.pb-c.h"
#include "wire/frame.h"

#define REPORT_EVERY 5 /* words on the loads */

/* What each VM tells of, of all there are. */
#define LOADS_EACH 12

typedef struct entries entries_t;

typedef struct
{
  entries_t *all;
  size_t entry;
  size_t control;
  struct bufferevent *bev;
  uint8_t nonce[BR_NONCE_BYTES];
  bool ready;
} link_t;

struct entries
{
  struct event_base *base;
  const char *key;
  br_endpoint_t controls[8];
  size_t n_controls;
  size_t n;
  size_t organisations;
  size_t upstreams;
  int period_ms; /* between two words on the loads */
  link_t *links; /* of entry i to control VM c: i * n_controls + c */
  int64_t ticks;
  uint64_t term;
  size_t leader;
};

static br_name_t
entry_name (size_t entry)
{
  char name[32];

  snprintf (name, sizeof name, "127.9.%zu.%zu", entry / 200, entry % 200 + 1);
  return br_name_from (name);
}

static uint64_t
entry_incarnation (size_t entry)
{
  return 1000 + entry;
}

/* --- links --- */

static void
link_write (link_t *link, const br_frame_t *frame)
{
  br_buf_t out = { 0 };

  br_frame_pack (frame, &out);
  bufferevent_write (link->bev, out.data, out.len);
  br_buf_free (&out);
}

static void
link_prove (link_t *link, const br_hello_t *hello)
{
  br_name_t name = entry_name (link->entry);
  br_frame_t frame = { .kind = BR_FRAME_PROOF };
  br_buf_t data = { 0 };
  br_digest_t mac;

  br_buf_printf (&data, "briarrack %d %s %" PRIu64 " ", BR_WIRE_VERSION,
                 name.data, entry_incarnation (link->entry));
  br_buf_append (&data,
                 br_str_make ((const char *)link->nonce, BR_NONCE_BYTES));
  br_buf_append (&data,
                 br_str_make ((const char *)hello->nonce, BR_NONCE_BYTES));
  mac = br_digest_hmac (br_str_from (link->all->key), br_buf_str (&data));
  memcpy (frame.proof.mac, mac.bytes, BR_MAC_BYTES);
  link_write (link, &frame);
  br_buf_free (&data);
}

static void
link_on_envelope (link_t *link, const br_envelope_t *envelope)
{
  entries_t *all = link->all;
  Br__Site__Message *message;

  if (envelope->part != BR_PART_SITE)
    return;
  message = br__site__message__unpack (NULL, envelope->payload.len,
                                       (const uint8_t *)envelope->payload.data);
  if (message != NULL && message->body_case == BR__SITE__MESSAGE__BODY_BEAT
      && message->beat->leads && message->beat->term > all->term)
    {
      all->term = message->beat->term;
      all->leader = link->control;
      printf ("{\"leader\":%zu,\"term\":%" PRIu64 "}\n", all->leader,
              all->term);
      fflush (stdout);
    }
  if (message != NULL)
    br__site__message__free_unpacked (message, NULL);
}

static void
link_on_frame (link_t *link, const br_frame_t *frame)
{
  switch (frame->kind)
    {
    case BR_FRAME_HELLO:
      link_prove (link, &frame->hello);
      break;
    case BR_FRAME_PROOF:
      link->ready = true;
      break;
    case BR_FRAME_ENVELOPE:
      link_on_envelope (link, &frame->envelope);
      break;
    }
}

static void
link_on_read (struct bufferevent *bev, void *context)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (input);
  const char *data = (const char *)evbuffer_pullup (input, -1);
  size_t taken = 0;
  br_frame_t frame;
  br_error_t err;

  for (;;)
    {
      size_t used = 0;

      if (br_frame_unpack (br_str_make (data + taken, len - taken), "control",
                           &frame, &used, &err)
          != BR_FRAME_READY)
        break;
      link_on_frame (context, &frame);
      br_frame_release (&frame);
      taken += used;
    }
  evbuffer_drain (input, taken);
}

static void link_dial (link_t *link);

static void
link_on_event (struct bufferevent *bev, short what, void *context)
{
  link_t *link = context;
  br_frame_t frame = { .kind = BR_FRAME_HELLO };

  if (what & BEV_EVENT_CONNECTED)
    {
      frame.hello.version = BR_WIRE_VERSION;
      frame.hello.vm = entry_name (link->entry);
      frame.hello.incarnation = entry_incarnation (link->entry);
      frame.hello.failure_domain = br_name_from ("castillos");
      memcpy (frame.hello.nonce, link->nonce, sizeof link->nonce);
      link_write (link, &frame);
      return;
    }
  bufferevent_free (bev);
  link->bev = NULL;
  link->ready = false;
}

static void
link_dial (link_t *link)
{
  const br_endpoint_t *to = &link->all->controls[link->control];
  struct sockaddr_storage address;
  int len;

  if (!br_endpoint_to_sockaddr (to, &address, &len))
    exit (1);
  memset (link->nonce, (int)(link->entry % 251 + 1), sizeof link->nonce);
  link->bev
      = bufferevent_socket_new (link->all->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (link->bev, link_on_read, NULL, link_on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (link->bev, (struct sockaddr *)&address, len);
}

/* --- what they tell --- */

typedef struct
{
  Br__Site__UpstreamLoad loads[LOADS_EACH];
  Br__Site__UpstreamLoad *load_views[LOADS_EACH];
  char upstreams[LOADS_EACH][48];
  Br__Site__Demand *demands;
  Br__Site__Demand **demand_views;
  Br__Site__Used *used;
  Br__Site__Used **used_views;
  char (*organisations)[48];
} words_t;

static void
words_alloc (const entries_t *all, words_t *words)
{
  size_t n = all->organisations;

  words->demands = br_alloc (n * sizeof *words->demands);
  words->demand_views = br_alloc (n * sizeof *words->demand_views);
  words->used = br_alloc (n * sizeof *words->used);
  words->used_views = br_alloc (n * sizeof *words->used_views);
  words->organisations = br_alloc (n * sizeof *words->organisations);
  for (size_t i = 0; i < n; i++)
    {
      snprintf (words->organisations[i], sizeof words->organisations[i],
                "organisation-%zu", i);
      words->demands[i] = (Br__Site__Demand)BR__SITE__DEMAND__INIT;
      words->demands[i].organisation = words->organisations[i];
      words->demands[i].units_per_s = 400;
      words->demand_views[i] = &words->demands[i];
      words->used[i] = (Br__Site__Used)BR__SITE__USED__INIT;
      words->used[i].organisation = words->organisations[i];
      words->used[i].units = words->used[i].asked = 40 * (double)all->ticks;
      words->used_views[i] = &words->used[i];
    }
}

static void
words_set_loads (const entries_t *all, size_t entry, words_t *words)
{
  for (size_t i = 0; i < LOADS_EACH; i++)
    {
      snprintf (words->upstreams[i], sizeof words->upstreams[i], "upstream-%zu",
                (entry * 7 + i + (size_t)all->ticks) % all->upstreams);
      words->loads[i] = (Br__Site__UpstreamLoad)BR__SITE__UPSTREAM_LOAD__INIT;
      words->loads[i].id = words->upstreams[i];
      words->loads[i].in_flight = 1;
      words->loads[i].prefill_tokens = 1000;
      words->load_views[i] = &words->loads[i];
    }
}

static void
words_free (words_t *words)
{
  free (words->demands);
  free (words->demand_views);
  free (words->used);
  free (words->used_views);
  free (words->organisations);
}

static void
link_send (link_t *link, const Br__Site__Message *message)
{
  size_t len = br__site__message__get_packed_size (message);
  br_frame_t frame = { .kind = BR_FRAME_ENVELOPE };
  br_buf_t payload = { 0 };

  if (!link->ready)
    return;
  br_buf_reserve (&payload, len);
  br__site__message__pack (message, (uint8_t *)payload.data);
  payload.len = len;
  frame.envelope.part = BR_PART_SITE;
  frame.envelope.payload = br_buf_str (&payload);
  link_write (link, &frame);
  br_buf_free (&payload);
}

static void
entry_report (entries_t *all, size_t entry, words_t *words)
{
  Br__Site__EntryReport report = BR__SITE__ENTRY_REPORT__INIT;
  Br__Site__Message message = BR__SITE__MESSAGE__INIT;

  report.n_loads = LOADS_EACH;
  report.loads = words->load_views;
  report.n_demands = report.n_used = all->organisations;
  report.demands = words->demand_views;
  report.used = words->used_views;
  report.configuration_version = 1;
  report.wall_ms = report.site_wall_ms = (uint64_t)br_clock_wall ();
  report.up_ms = (uint64_t)all->ticks * (uint64_t)all->period_ms;
  message.body_case = BR__SITE__MESSAGE__BODY_REPORT;
  message.report = &report;
  for (size_t c = 0; c < all->n_controls; c++)
    link_send (&all->links[entry * all->n_controls + c], &message);
}

static void
entry_tell_loads (entries_t *all, size_t entry, words_t *words)
{
  Br__Site__Loads loads = BR__SITE__LOADS__INIT;
  Br__Site__Message message = BR__SITE__MESSAGE__INIT;

  loads.n_loads = LOADS_EACH;
  loads.loads = words->load_views;
  loads.n_used = 1;
  loads.used = words->used_views;
  loads.up_ms = (uint64_t)all->ticks * (uint64_t)all->period_ms;
  message.body_case = BR__SITE__MESSAGE__BODY_LOADS;
  message.loads = &loads;
  link_send (&all->links[entry * all->n_controls + all->leader], &message);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  entries_t *all = context;
  words_t words;

  (void)fd;
  (void)what;
  words_alloc (all, &words);
  for (size_t i = 0; i < all->n; i++)
    {
      words_set_loads (all, i, &words);
      if ((all->ticks + (int64_t)i) % REPORT_EVERY == 0)
        entry_report (all, i, &words);
      else if (all->term > 0)
        entry_tell_loads (all, i, &words);
    }
  words_free (&words);
  for (size_t i = 0; i < all->n * all->n_controls; i++)
    if (all->links[i].bev == NULL)
      link_dial (&all->links[i]);
  all->ticks++;
}

/* --- start --- */

static void
add_control (entries_t *all, const char *arg, struct argp_state *state)
{
  br_endpoint_t *endpoint = &all->controls[all->n_controls];
  const char *colon = strrchr (arg, ':');

  if (colon == NULL || all->n_controls == BR_N_ELEMENTS (all->controls)
      || (size_t)(colon - arg) >= sizeof endpoint->address)
    argp_error (state, "--control ADDRESS:PORT is wanted, a few times");
  memcpy (endpoint->address, arg, (size_t)(colon - arg));
  endpoint->port = (uint16_t)atoi (colon + 1);
  all->n_controls++;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  entries_t *all = state->input;

  switch (key)
    {
    case 'c':
      add_control (all, arg, state);
      return 0;
    case 'k':
      all->key = arg;
      return 0;
    case 'n':
      all->n = (size_t)atoi (arg);
      return 0;
    case 'o':
      all->organisations = (size_t)atoi (arg);
      return 0;
    case 'p':
      all->period_ms = atoi (arg);
      return 0;
    case 'u':
      all->upstreams = (size_t)atoi (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "control", 'c', "ADDRESS:PORT", 0, "peer address of a control VM", 0 },
    { "key", 'k', "KEY", 0, "the VMs' shared key", 0 },
    { "entries", 'n', "N", 0, "entry VMs", 0 },
    { "organisations", 'o', "N", 0, "organisations that ask each of them", 0 },
    { "period-ms", 'p', "MS", 0, "between two words on the loads", 0 },
    { "upstreams", 'u', "N", 0, "upstreams that they use", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options, .parser = parse };
  entries_t all = {
    .key = "", .n = 300, .organisations = 40, .upstreams = 210, .period_ms = 100
  };
  struct timeval period;
  struct event *timer;

  argp_parse (&argp, argc, argv, 0, NULL, &all);
  all.base = event_base_new ();
  all.links = br_alloc_zero (all.n * all.n_controls * sizeof *all.links);
  for (size_t i = 0; i < all.n * all.n_controls; i++)
    {
      all.links[i].all = &all;
      all.links[i].entry = i / all.n_controls;
      all.links[i].control = i % all.n_controls;
    }
  period = (struct timeval){ 0, all.period_ms * 1000 };
  timer = event_new (all.base, -1, EV_PERSIST, on_tick, &all);
  event_add (timer, &period);
  event_base_dispatch (all.base);
  return 0;
}
