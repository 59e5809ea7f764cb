package conns

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// readAnswer returns the body of the answer of a server that sends text, and whether its head was
// taken.
func readAnswer(t *testing.T, poo *Pool, text string) (body string, taken bool, err error) {
	t.Helper()
	address := writeOnce(t, text)
	rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "", headWithID)
	if err != nil {
		return "", false, err
	}
	defer rep.Close()
	got, err := io.ReadAll(rep)
	return string(got), true, err
}

// answerCase is a line of testdata/heads.txt.
type answerCase struct {
	line    int
	verdict string
	text    string
	// body is what is taken, quoted.
	body string
}

func answerCases(t testing.TB) []answerCase {
	t.Helper()
	doc, err := os.ReadFile("testdata/heads.txt")
	require.NoError(t, err)
	var out []answerCase
	for num, line := range strings.Split(string(doc), "\n") {
		verdict, rest, ok := strings.Cut(line, " ")
		if !ok || verdict == "#" {
			continue
		}
		quoted, err := strconv.QuotedPrefix(rest)
		require.NoError(t, err, "line %d", num+1)
		text, err := strconv.Unquote(quoted)
		require.NoError(t, err, "line %d", num+1)
		out = append(out, answerCase{num + 1, verdict, text, strings.TrimSpace(rest[len(quoted):])})
	}
	return out
}

// An answer that isn't one by the rules of HTTP must not be taken for one.
func TestAnswersAreTakenByTheRulesOfHTTP(t *testing.T) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	for _, cas := range answerCases(t) {
		t.Run(strconv.Itoa(cas.line), func(t *testing.T) {
			t.Parallel()
			body, taken, err := readAnswer(t, poo, cas.text)
			switch cas.verdict {
			case "taken":
				require.NoError(t, err, "%q", cas.text)
				require.Equal(t, cas.body, strconv.Quote(body))
			case "refused":
				require.False(t, taken, "%q: %q", cas.text, body)
			case "broken":
				require.True(t, taken, "%q: %v", cas.text, err)
				require.Error(t, err, "%q: %q", cas.text, body)
			default:
				require.Fail(t, "no such verdict", cas.verdict)
			}
		})
	}
}

// Fields of a head beyond the read buffer must be checked as well, and a sound long head be taken.
func TestLongHeadsAreChecked(t *testing.T) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	for _, size := range []int{10, readBufferSize - 60, readBufferSize, 5 * readBufferSize} {
		begin := "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", size) + "\r\n"
		const end = "Content-Length: 2\r\n\r\nok"
		body, _, err := readAnswer(t, poo, begin+end)
		require.NoError(t, err, size)
		require.Equal(t, "ok", body)
		_, taken, _ := readAnswer(t, poo, begin+"X Odd: 1\r\n"+end)
		require.False(t, taken, size)
	}
}

// A head that is cut at any byte must not be taken for a head.
func TestCutHeadsAreRefused(t *testing.T) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	const head = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\n"
	for size := range len(head) {
		_, taken, err := readAnswer(t, poo, head[:size])
		require.False(t, taken, "%q", head[:size])
		require.True(t, ServerClosed(err), "%q: %v", head[:size], err)
	}
}
