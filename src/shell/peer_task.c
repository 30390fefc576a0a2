#include "shell/peer_task.h"

#include <errno.h>
#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

#include "replica/contacts.h"
#include "shell/held_task.h"
#include "shell/peer_link.h"

/* Time between two checks of the links.  A link on which an answer is due is
 * pinged at each check. */
#define LINK_CHECK_MS 100

/* Messages to a link with more unsent bytes are dropped. */
#define LINK_BACKLOG_MAX_BYTES (8 * 1024 * 1024)

/* Maximum number of accepted links at once, for each known peer. */
#define ACCEPTED_PER_PEER 4

/* Maximum number of accepted links at once when VMs that are not in peers.vms
 * may dial: a few for each entry VM of a large site. */
#define ACCEPTED_OPEN_MAX 1600

static void
task_on_timer (evutil_socket_t fd, short what, void *context)
{
  br_peer_task_t *task = context;
  br_peer_link_t *next;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < task->n_dialled; i++)
    br_peer_link_check (task->dialled[i]);
  for (br_peer_link_t *link = task->accepted; link != NULL; link = next)
    {
      next = link->next;
      br_peer_link_check (link);
    }
}

/* Closes the oldest accepted link that has not greeted, if there is one. */
static void
task_close_greeting (br_peer_task_t *task)
{
  br_peer_link_t *oldest = NULL;
  evutil_socket_t fd;

  for (br_peer_link_t *link = task->accepted; link != NULL; link = link->next)
    if (link->state == BR_PEER_LINK_GREETING)
      oldest = link;
  if (oldest == NULL)
    return;
  br_held_task_account (task->node->held)->counts[BR_HELD_SILENT]++;
  /* bufferevent_free() leaves the descriptor open until the event loop turns.
   */
  fd = bufferevent_getfd (oldest->bev);
  bufferevent_setfd (oldest->bev, -1);
  evutil_closesocket (fd);
  br_peer_link_close (oldest);
}

static void
task_on_accept (struct evconnlistener *listener,
                evutil_socket_t fd,
                struct sockaddr *address,
                int len,
                void *context)
{
  br_peer_task_t *task = context;
  br_peer_link_t *link;

  size_t max = task->node->settings.open_peers
                   ? ACCEPTED_OPEN_MAX
                   : task->n_dialled * ACCEPTED_PER_PEER;

  (void)listener;
  (void)address;
  (void)len;
  if (task->n_accepted >= max
      || task->n_greeting
             >= br_held_task_account (task->node->held)->greeting_max)
    task_close_greeting (task);
  if (task->n_accepted >= max)
    {
      evutil_closesocket (fd);
      br_counters_add (&task->node->counters, BR_COUNTER_PEER_ERRORS, 1);
      return;
    }
  link = br_alloc_zero (sizeof *link);
  link->task = task;
  link->next = task->accepted;
  task->accepted = link;
  task->n_accepted++;
  task->n_greeting++;
  br_peer_link_start (link, fd);
  br_peer_link_set_nodelay (link);
}

static bool
task_listen (br_peer_task_t *task, br_error_t *err)
{
  const br_endpoint_t *endpoint = &task->node->settings.peers;
  struct sockaddr_storage address;
  int len;

  if (br_endpoint_to_sockaddr (endpoint, &address, &len))
    task->listener
        = evconnlistener_new_bind (task->node->base, task_on_accept, task,
                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                   -1, (struct sockaddr *)&address, len);
  if (task->listener != NULL)
    return true;
  return br_error_set (err, BR_ERROR_INTERNAL, "listen for peers", "",
                       "%s port %d: %s", endpoint->address, (int)endpoint->port,
                       strerror (errno));
}

static br_peer_link_t *
task_find_link (const br_peer_task_t *task, const br_name_t *vm)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    if (br_name_equal (&task->dialled[i]->peer.name, vm))
      return task->dialled[i];
  return NULL;
}

bool
br_peer_task_dials (const br_peer_task_t *task, const br_name_t *vm)
{
  return task_find_link (task, vm) != NULL;
}

void
br_peer_task_add (br_peer_task_t *task, const br_peer_settings_t *peer)
{
  br_peer_link_t *link;

  if (task_find_link (task, &peer->name) != NULL)
    return;
  link = br_alloc_zero (sizeof *link);
  task->dialled
      = br_realloc (task->dialled, (task->n_dialled + 1) * sizeof link);
  task->dialled[task->n_dialled++] = link;
  link->task = task;
  link->dialled = true;
  link->peer = *peer;
  link->backoff_ms = BR_PEER_LINK_BACKOFF_MIN_MS;
  br_peer_link_dial (link);
}

static void
task_free_dialled (br_peer_link_t *link)
{
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  br_held_leave (&link->held);
  br_buf_free (&link->input);
  free (link);
}

void
br_peer_task_remove (br_peer_task_t *task, const br_name_t *vm)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    if (br_name_equal (&task->dialled[i]->peer.name, vm))
      {
        task_free_dialled (task->dialled[i]);
        task->dialled[i] = task->dialled[--task->n_dialled];
        return;
      }
}

void
br_peer_task_keep (br_peer_task_t *task, const br_names_t *vms)
{
  for (size_t i = 0; i < task->n_dialled;)
    if (br_contacts_have (vms, &task->dialled[i]->peer.name))
      i++;
    else
      {
        task_free_dialled (task->dialled[i]);
        task->dialled[i] = task->dialled[--task->n_dialled];
      }
}

static void
task_add_peers (br_peer_task_t *task)
{
  br_peer_settings_list_t *vms = &task->node->settings.vms;

  for (size_t i = 0; i < vms->len; i++)
    br_peer_task_add (task, &vms->items[i]);
}

br_peer_task_t *
br_peer_task_new (br_node_t *node, br_error_t *err)
{
  br_peer_task_t *task = br_alloc_zero (sizeof *task);
  struct timeval period = { 0, LINK_CHECK_MS * 1000 };

  task->node = node;
  if (!task_listen (task, err))
    {
      free (task);
      return NULL;
    }
  task_add_peers (task);
  task->timer = event_new (node->base, -1, EV_PERSIST, task_on_timer, task);
  event_add (task->timer, &period);
  return task;
}

void
br_peer_task_free (br_peer_task_t *task)
{
  if (task == NULL)
    return;
  for (size_t i = 0; i < task->n_dialled; i++)
    task_free_dialled (task->dialled[i]);
  while (task->accepted != NULL)
    br_peer_link_close (task->accepted);
  free (task->dialled);
  event_free (task->timer);
  evconnlistener_free (task->listener);
  free (task);
}

static br_peer_link_t *
task_find_accepted (const br_peer_task_t *task, const br_name_t *vm)
{
  for (br_peer_link_t *link = task->accepted; link != NULL; link = link->next)
    if (link->state == BR_PEER_LINK_READY && br_name_equal (&link->vm, vm))
      return link;
  return NULL;
}

bool
br_peer_task_is_up (const br_peer_task_t *task, const br_name_t *vm)
{
  const br_peer_link_t *link = task_find_link (task, vm);

  return link != NULL && link->state == BR_PEER_LINK_READY;
}

void
br_peer_task_each (const br_peer_task_t *task,
                   br_peer_visit_fn visit,
                   void *context)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    if (task->dialled[i]->state == BR_PEER_LINK_READY)
      visit (context, &task->dialled[i]->peer.name);
}

bool
br_peer_task_send (br_peer_task_t *task,
                   const br_name_t *vm,
                   br_part_t part,
                   br_str_t payload)
{
  br_peer_link_t *link = task_find_link (task, vm);

  if (link == NULL || link->state != BR_PEER_LINK_READY)
    link = task_find_accepted (task, vm);
  if (link == NULL)
    return false;
  if (evbuffer_get_length (bufferevent_get_output (link->bev))
      > LINK_BACKLOG_MAX_BYTES)
    return false;
  br_peer_link_send (link, part, payload);
  return true;
}

void
br_peer_task_status (const br_peer_task_t *task, br_buf_t *out)
{
  for (size_t i = 0; i < task->n_dialled; i++)
    {
      const br_peer_link_t *link = task->dialled[i];

      br_buf_printf (out,
                     "%s{\"vm\":\"%s\",\"failure_domain\":\"%s\","
                     "\"up\":%s,\"delay_ms\":%" PRId64 "}",
                     i > 0 ? "," : "", link->peer.name.data,
                     link->peer.failure_domain.data,
                     link->state == BR_PEER_LINK_READY ? "true" : "false",
                     link->delay_ms);
    }
}
