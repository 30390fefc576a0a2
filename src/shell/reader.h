/* The callers that read answers: each is written what is new of the answer of
 * its work, as a stream of events or as a whole. */
#ifndef BR_SHELL_READER_H
#define BR_SHELL_READER_H

#include "http/http_server.h"
#include "shell/engine_body.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

typedef struct br_readers br_readers_t;

br_readers_t *br_readers_new (br_node_t *node);

/* Leaves the requests alone: they end with their connections. */
void br_readers_free (br_readers_t *readers);

/* CONN reads the answer of WORK as HEAD says, or, when the caller comes
 * back, behind RESUME (otherwise NULL). */
void br_readers_add (br_readers_t *readers,
                     br_http_conn_t *conn,
                     br_work_t *work,
                     const br_completion_head_t *head,
                     const br_event_id_t *resume);

/* Writes what is new of the answer of WORK. */
void br_readers_on_work (br_readers_t *readers, uint64_t work);

/* The caller of CONN has gone; the work goes on without it. */
void br_readers_on_disconnect (br_http_conn_t *conn);
size_t br_readers_count (const br_readers_t *readers);

BR_END_DECLS

#endif
