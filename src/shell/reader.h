/* Sends answers to the callers that read them, as streams of events or as whole
 * bodies. */
#ifndef BR_SHELL_READER_H
#define BR_SHELL_READER_H

#include "http/http_server.h"
#include "shell/engine_body.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

typedef struct br_readers br_readers_t;

br_readers_t *br_readers_new (br_node_t *node);

/* Does not end the requests; they end with their connections. */
void br_readers_free (br_readers_t *readers);

/* Sends the answer of WORK to CONN in the form that HEAD requests.  RESUME is
 * the last event that the caller received before it reconnected, or NULL. */
void br_readers_add (br_readers_t *readers,
                     br_http_conn_t *conn,
                     br_work_t *work,
                     const br_completion_head_t *head,
                     const br_event_id_t *resume);

/* Writes the new parts of the answer of WORK to its readers. */
void br_readers_on_work (br_readers_t *readers, uint64_t work);

/* Frees the reader of CONN, whose caller disconnected.  The work continues. */
void br_readers_on_disconnect (br_http_conn_t *conn);
size_t br_readers_count (const br_readers_t *readers);

BR_END_DECLS

#endif
