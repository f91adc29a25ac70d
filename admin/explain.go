package admin

import (
	"net/http"

	"lacewingspoke.org/lacewingspoke/explanation"
)

// ExplainPath is the path at which a node answers an explanation.Question. Nodes of earlier
// releases answer 404 there, and this one never does.
const ExplainPath = "/v1/explain"

// maxQuestionBytes bounds the length of a question. The text of a prompt is the longest part.
const maxQuestionBytes = 4 << 20

func (server *Server) serveExplain(writer http.ResponseWriter, request *http.Request) {
	var question explanation.Question
	if err := decodeBodyOf(writer, request, maxQuestionBytes, &question); err != nil {
		http.Error(writer, "question is not valid: "+err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := server.explain(question)
	if err != nil {
		http.Error(writer, err.Error(), errorStatus(err))
		return
	}
	writeJSON(writer, http.StatusOK, answer)
}
