// Peer messages of idempotency claims. Reads return false if malformed.
#pragma once

#include "work_mod_msg.h"

/// @param ticket  returned with the verdict
enum err claim_ask_send(struct core *c, const char *node, uint64_t ticket,
			const struct claim_request *req);
bool claim_ask_read(const void *buf, size_t len, uint64_t *ticket,
		    struct claim_request *req);

/// PEER_CLAIM_VERDICT; free with claim_verdict_msg_free().
struct claim_verdict_msg {
	struct work_reader r;
	uint64_t ticket;
	enum claim_verdict verdict;
	struct claim_answer answer;
	char ctype[128];
};

enum err claim_verdict_send(struct core *c, const struct core_peer_run *to,
			    uint64_t ticket, enum claim_verdict v,
			    const struct claim_answer *a);
bool claim_verdict_read(const void *buf, size_t len,
			struct claim_verdict_msg *m);
void claim_verdict_msg_free(struct claim_verdict_msg *m);

/// PEER_CLAIM_OUTCOME, the outcome; free with claim_note_msg_free().
struct claim_note_msg {
	struct work_reader r;
	struct claim_record rec;
	char ctype[128];
};

enum err claim_note_send(struct core *c, const char *node,
			 const struct claim_record *rec);
bool claim_note_read(const void *buf, size_t len, struct claim_note_msg *m);
void claim_note_msg_free(struct claim_note_msg *m);
