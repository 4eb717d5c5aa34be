/* codec.h - struct mq_message to protobuf and back.

   A message of type NONE is a heartbeat: nothing but the version.
   Needs: protobuf-c, proto/peer.pb-c.h, message.h.  */

#ifndef MQ_CODEC_H
#define MQ_CODEC_H

#include "core/message.h"

/* Envelope bytes below CTX; NULL when memory is out or an array is over its
   bound in limits.h.  */
uint8_t *mq_codec_pack (TALLOC_CTX *ctx, const struct mq_message *message,
                        size_t *len);
/* Message below CTX; NULL with BAD_FRAME in ERROR.  Absent strings become
   "", never NULL.  Enumerations out of range are BAD_FRAME.  */
struct mq_message *mq_codec_unpack (TALLOC_CTX *ctx, const uint8_t *data,
                                    size_t len, struct mq_error *error);

#endif
