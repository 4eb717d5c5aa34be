/* settings.h - parser of a daemon's settings file, in INI format.

   One table of keys is used for parsing, --help and the check of the
   documentation.
   Needs: text_keys.h (tables of keys), gate.h, host.h.  */

#ifndef MQ_SETTINGS_H
#define MQ_SETTINGS_H

#include "core/gate/gate.h"
#include "core/host.h"
#include "core/text/text_keys.h"

/**
 * struct mq_settings - settings of a daemon
 * @host: name of this host
 * @data_centre: data centre of this host
 * @region: region of the data centre
 * @http: listening "IP:PORT" for callers (entryd) or operators (targetd)
 * @peer: listening "IP:PORT" for other daemons
 * @platform: "http://IP:PORT" of the platform
 * @site_key: shared secret of the site's daemons
 * @operator_key_hash: SHA-256 of the operators' API key
 * @policy: name of the placement policy (entryd)
 * @commit_each_step: every step waits for the store, for comparison (entryd)
 * @order: order of the queue (targetd)
 * @workers: [worker NAME] sections (targetd)
 * @worker_urls: "http://IP:PORT" of each worker
 * @worker_count: length of @workers and @worker_urls
 * @drain_seconds: timeout of a graceful shutdown
 * @stream_buffer_kb: limit of unsent data of a stream, in KiB (entryd)
 */
struct mq_settings
{
  const char *host;
  const char *data_centre;
  const char *region;
  const char *http;
  const char *peer;
  const char *platform;
  uint8_t site_key[MQ_KEY_BYTES];
  uint8_t operator_key_hash[MQ_KEY_BYTES];
  const char *policy;
  bool commit_each_step;
  enum mq_gate_order order;
  struct mq_gate_worker *workers;
  const char **worker_urls;
  size_t worker_count;
  uint32_t drain_seconds;
  uint32_t stream_buffer_kb;
};

/* Returns the table of keys.  The kinds of [process] are the daemons'
   roles.  */
const struct mq_key_table *mq_settings_keys (void);
/* Returns NULL if there is an error; ERRORS then lists all errors, owned by
   CTX.  They never contain the values of keys, which may be secret.  */
struct mq_settings *mq_settings_parse (TALLOC_CTX *ctx, enum mq_host_role role,
                                       const char *source, size_t len,
                                       struct mq_text_errors *errors);
/* Reads and parses FILE.  If it can't be read, the error is IO with errno as
   its number.  */
struct mq_settings *mq_settings_read (TALLOC_CTX *ctx, enum mq_host_role role,
                                      const char *file,
                                      struct mq_text_errors *errors);

#endif
