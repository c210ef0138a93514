/* Completions in the format of the OpenAI API: requests, answers and events. */
#include "wisteria/entry/openai.h"

#include <string.h>

#include <jansson.h>

#include "wisteria/base/err.h"

#define OPENAI_MAX_TOKENS_MAX 1000000

static bool fail(err_t *err, const char *field, const char *reason)
{
	err_set(err, ERR_INVALID, "parse_request", field, "%s", reason);
	return false;
}

static bool parse_prompt(request_t *request, const json_t *root, err_t *err)
{
	const json_t *prompt = json_object_get(root, "prompt");

	if (!json_is_string(prompt) || json_string_length(prompt) == 0)
		return fail(err, "prompt",
			    "expected a string that is not empty");
	request->prompt = g_strdup(json_string_value(prompt));
	return true;
}

static bool parse_messages(request_t *request, const json_t *root, err_t *err)
{
	const json_t *messages = json_object_get(root, "messages");
	GString *prompt;
	const json_t *message;
	size_t index;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return fail(err, "messages", "expected a list");
	prompt = g_string_new(NULL);
	json_array_foreach(messages, index, message)
	{
		const json_t *role = json_object_get(message, "role");
		const json_t *content = json_object_get(message, "content");

		if (!json_is_string(role) || !json_is_string(content)) {
			g_string_free(prompt, TRUE);
			return fail(err, "messages",
				    "each needs a role and a content");
		}
		g_string_append_printf(prompt, "%s: %s\n",
				       json_string_value(role),
				       json_string_value(content));
	}
	request->prompt = g_string_free(prompt, FALSE);
	return true;
}

static bool parse_max_tokens(request_t *request, const json_t *root, err_t *err)
{
	const json_t *value = json_object_get(root, "max_tokens");

	if (value == NULL)
		value = json_object_get(root, "max_completion_tokens");
	if (value == NULL || json_is_null(value))
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 1 ||
	    json_integer_value(value) > OPENAI_MAX_TOKENS_MAX)
		return fail(err, "max_tokens", "expected a positive integer");
	request->max_tokens = (uint32_t)json_integer_value(value);
	return true;
}

static bool parse_root(request_t *request, const json_t *root, err_t *err)
{
	const json_t *model = json_object_get(root, "model");
	const json_t *stream = json_object_get(root, "stream");

	if (!json_is_object(root))
		return fail(err, "body", "expected an object");
	if (!json_is_string(model))
		return fail(err, "model", "expected a string");
	if (stream != NULL && !json_is_boolean(stream))
		return fail(err, "stream", "expected true or false");
	request->model = g_strdup(json_string_value(model));
	request->stream = json_is_true(stream);
	if (!parse_max_tokens(request, root, err))
		return false;
	if (request->kind == REQUEST_CHAT)
		return parse_messages(request, root, err);
	return parse_prompt(request, root, err);
}

/* Parses the body of a model request; ERR_INVALID names the invalid field. */
bool openai_parse(request_t *request, err_t *err)
{
	json_error_t error;
	json_t *root =
		json_loadb((const char *)request->body->data,
			   request->body->len, JSON_REJECT_DUPLICATES, &error);
	bool ok;

	if (root == NULL) {
		err_set(err, ERR_INVALID, "parse_request", "body",
			"not JSON: line %d: %s", error.line, error.text);
		return false;
	}
	ok = parse_root(request, root, err);
	json_decref(root);
	return ok;
}

static const char *finish_reason(bool stopped)
{
	return stopped ? "stop" : "length";
}

static char *dump_and_free(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static json_t *event_choice(const request_t *request, const msg_token_t *token)
{
	if (request->kind == REQUEST_CHAT)
		return json_pack("{s:i,s:{s:s},s:s?}", "index", 0, "delta",
				 "content", token->text, "finish_reason",
				 token->last ? "stop" : NULL);
	return json_pack("{s:i,s:s,s:s?}", "index", 0, "text", token->text,
			 "finish_reason", token->last ? "stop" : NULL);
}

/*
 * Returns one server-sent event that carries "token"; the caller frees it
 * with free().
 */
char *openai_format_event(const request_t *request, const char *event_id,
			  const msg_token_t *token)
{
	const char *object = request->kind == REQUEST_CHAT
				     ? "chat.completion.chunk"
				     : "text_completion";
	char *data = dump_and_free(json_pack("{s:s,s:s,s:s,s:[o]}", "id",
					     request->id, "object", object,
					     "model", request->model, "choices",
					     event_choice(request, token)));
	GString *event = g_string_new(NULL);
	char *text;

	g_string_printf(event, "id: %s\ndata: %s\n\n", event_id,
			data == NULL ? "{}" : data);
	free(data);
	text = strdup(event->str);
	g_string_free(event, TRUE);
	return text;
}

static json_t *answer_choice(const request_t *request, const char *text,
			     bool stopped)
{
	if (request->kind == REQUEST_CHAT)
		return json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message",
				 "role", "assistant", "content", text,
				 "finish_reason", finish_reason(stopped));
	return json_pack("{s:i,s:s,s:s}", "index", 0, "text", text,
			 "finish_reason", finish_reason(stopped));
}

/* Returns the body of a complete answer; the caller frees it with free(). */
char *openai_format_answer(const request_t *request, const char *text,
			   uint32_t token_count, bool stopped)
{
	const char *object = request->kind == REQUEST_CHAT ? "chat.completion"
							   : "text_completion";

	return dump_and_free(
		json_pack("{s:s,s:s,s:s,s:[o],s:{s:i}}", "id", request->id,
			  "object", object, "model", request->model, "choices",
			  answer_choice(request, text, stopped), "usage",
			  "completion_tokens", (int)token_count));
}
