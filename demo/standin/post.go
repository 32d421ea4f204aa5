package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// Post sends a JSON body and decodes the answer. A status other than 2xx is an
// error with the answer's text.
func Post(ctx context.Context, c *http.Client, url, token string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := c.Do(req)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", url)
	}
	if res.StatusCode/100 != 2 {
		return errors.Errorf("%s: status %d: %s", url, res.StatusCode, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrapf(err, "decode answer of %s", url)
	}
	return nil
}
